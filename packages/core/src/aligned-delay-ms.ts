/** Shortest delay: a timer that fires slightly early must not fire twice for one boundary. */
const minDelayRatio = 0.1;

/**
 * Returns the milliseconds until the next whole multiple of a period. Tasks of one process that
 * align their delays wake together, which keeps the number of wake-ups of an idle process low.
 *
 * @example
 * await clock.sleep(alignedDelayMs(clock.monotonic(), 200));
 */
export const alignedDelayMs = (nowMs: number, periodMs: number): number => {
	const delayMs = periodMs - (nowMs % periodMs);
	return delayMs < periodMs * minDelayRatio ? delayMs + periodMs : delayMs;
};
