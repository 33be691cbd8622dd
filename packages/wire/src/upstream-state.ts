/**
 * How an upstream stands, as its node reports it with each outcome.
 *
 * @example
 * const state: UpstreamState = {waitMs: 12, limit: 22, heldMs: 40};
 */
export type UpstreamState = {
	/** Time that one more call would wait for a place, in milliseconds. */
	readonly waitMs: number;
	/** Calls that it runs at once. */
	readonly limit: number;
	/** Time that this call held its place, in milliseconds; undefined when it did not run. */
	readonly heldMs?: number;
};
