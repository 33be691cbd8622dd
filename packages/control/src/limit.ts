/**
 * How many calls an upstream runs at once, and how long its jobs usually take.
 *
 * @example
 * if (running < limit.value) {
 * 	start();
 * }
 */
export type Limit = {
	/** The limit in force, a whole number. */
	readonly value: number;
	/** Whether the limit has not met the capacity of the upstream yet. */
	readonly isRamping: boolean;
	/** The usual latency of a job at low load, in milliseconds; undefined when it is not known. */
	baselineOf(job: string): number | undefined;
	/** Takes in the upstream's own time on a call and how long the call held its place in all. */
	sample(job: string, time: {readonly ownMs: number; readonly heldMs: number}): void;
	/** Ends a window in which at most `peakInFlight` calls ran at once. */
	closeWindow(peakInFlight: number): void;
};
