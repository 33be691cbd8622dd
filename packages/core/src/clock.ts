/**
 * Source of time. Code that waits or measures takes a clock as an argument, so that tests can
 * substitute a manual one.
 *
 * @example
 * await clock.sleep(retryDelayMs, signal);
 */
export interface Clock {
	/** Wall-clock time in milliseconds since the epoch. */
	now(): number;
	/** Monotonic time in milliseconds; only differences are meaningful. */
	monotonic(): number;
	/** Resolves after `ms` milliseconds; rejects with the signal's reason if it aborts first. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
	/** Calls `callback` after `ms` milliseconds. The returned function cancels the timer. */
	after(ms: number, callback: () => void): () => void;
}
