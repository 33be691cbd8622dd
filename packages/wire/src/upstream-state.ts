/**
 * Load of an upstream, as its node reports it with each outcome.
 *
 * @example
 * const state: UpstreamState = {waitMs: 12, limit: 22, heldMs: 40};
 */
export type UpstreamState = {
	/** Time that another call would wait for a slot, in milliseconds. */
	readonly waitMs: number;
	/** Concurrency limit of the upstream. */
	readonly limit: number;
	/** Time that this call occupied its slot, in milliseconds; undefined when it did not run. */
	readonly heldMs?: number;
};
