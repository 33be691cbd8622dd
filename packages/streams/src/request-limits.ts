/**
 * Bounds on what a caller may send and on the time it may take.
 *
 * @example
 * const limits: RequestLimits = {
 * 	maxHeadBytes: 16_384, maxBodyBytes: 1e6, headMs: 3000, bodyMs: 30_000,
 * 	idleMs: 15_000,
 * };
 */
export type RequestLimits = {
	readonly maxHeadBytes: number;
	readonly maxBodyBytes: number;
	/** Time from the first byte of a request to the end of its head. */
	readonly headMs: number;
	/** Time from the end of the head to the end of the body. */
	readonly bodyMs: number;
	/** Time without a request after which a connection is closed. */
	readonly idleMs: number;
};
