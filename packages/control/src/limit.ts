/**
 * A concurrency limit of one upstream, with the baseline latency of its jobs.
 *
 * @example
 * if (running < limit.value) {
 * 	start();
 * }
 */
export type Limit = {
	/** The limit in force, a whole number. */
	readonly value: number;
	/** Whether the limit is still ramping up and has not reached the capacity of the upstream yet. */
	readonly isRamping: boolean;
	/** The baseline latency of a job at low load, in milliseconds; undefined when it is unknown. */
	baselineOf(job: string): number | undefined;
	/** Records a call: the upstream's own time on it, and its whole hold time. */
	sample(job: string, time: {readonly ownMs: number; readonly heldMs: number}): void;
	/** Ends a window in which at most `peakInFlight` calls ran at once. */
	closeWindow(peakInFlight: number): void;
};
