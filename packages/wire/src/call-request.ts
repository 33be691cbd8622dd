/**
 * One call on its way to an upstream, with the context that it carries along the chain.
 *
 * @example
 * const child: CallRequest = {...parent, service: 'permits', allowance: share};
 */
export type CallRequest = {
	readonly service: string;
	readonly job: string;
	readonly method: string;
	readonly path: string;
	/** Names and values in turn, names in lower case. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** ID of the root request that the caller sent. */
	readonly rootId: string;
	readonly rank: number;
	readonly cohort: number;
	/** Milliseconds left until the deadline, counted from when the message is read. */
	readonly remainingMs: number;
	/** Retries that the receiver may spend. */
	readonly allowance: number;
	/** Hops from the root. */
	readonly depth: number;
	readonly idempotent: boolean;
	/** Time within which its answer is worth most, in milliseconds. */
	readonly goalMs?: number;
	/** Service of the host where the request began. */
	readonly origin?: string;
	readonly key?: string;
};
