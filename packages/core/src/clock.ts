/**
 * Source of time. Every part that waits or measures takes one as an argument, so that a test can
 * put a manual clock in its place.
 *
 * @example
 * await clock.sleep(retryDelayMs, signal);
 */
export interface Clock {
	/** Wall-clock time in milliseconds since the epoch. */
	now(): number;
	/** Monotonic time in milliseconds; only differences have a meaning. */
	monotonic(): number;
	/** Resolves after `ms` milliseconds; rejects with the signal's reason when it aborts first. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
	/** Calls `callback` after `ms` milliseconds, unless the function it returns is called first. */
	after(ms: number, callback: () => void): () => void;
}
