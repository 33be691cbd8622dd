/**
 * A call to an upstream, with the request context that is passed along the chain of calls.
 *
 * @example
 * const child: CallRequest = {...parent, service: 'permits', allowance: share};
 */
export type CallRequest = {
	readonly service: string;
	readonly job: string;
	readonly method: string;
	readonly path: string;
	/** Names and values alternate; names are in lower case. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** ID of the root request that the caller sent. */
	readonly rootId: string;
	readonly rank: number;
	readonly cohort: number;
	/** Time left until the deadline, in milliseconds, counted from when the message is read. */
	readonly remainingMs: number;
	/** Number of retries that the receiver may use. */
	readonly allowance: number;
	/** Number of hops from the root request. */
	readonly depth: number;
	readonly idempotent: boolean;
	/** Target response time in milliseconds; a later answer is worth less. */
	readonly goalMs?: number;
	/** Service on whose host the request originated. */
	readonly origin?: string;
	readonly key?: string;
};
