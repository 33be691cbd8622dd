/**
 * The rank, deadline and retry budget that the policy in force gives to a request.
 *
 * @example
 * const terms: Terms = policy.termsFor('payment', 'DTI-OLD/PAY.fee');
 */
export type Terms = {
	/** Index in the policy's list of ranks; 0 is the most urgent. */
	readonly rank: number;
	readonly rankName: string;
	readonly idempotent: boolean;
	readonly deadlineMs: number;
	/** Retry budget of the whole root request, shared by all hops. */
	readonly retries: number;
	readonly spill: boolean;
};
