/**
 * What a node costs.
 *
 * @example
 * const {perRequestMs} = cost;
 */
export type Cost = {
	/** Processor time until the node is ready, in milliseconds. */
	readonly startMs: number;
	/** Processor time of a second without requests, in milliseconds. */
	readonly idleMsPerS: number;
	/** Processor time of all nodes that a request passes, in milliseconds, for each rate. */
	readonly perRequestMs: readonly number[];
	/** Proportional share of memory after the load, in MB. */
	readonly memoryMb: number;
};
