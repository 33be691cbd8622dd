/** Least wait: a timer that fires a little early must not count twice. */
const minWaitShare = 0.1;

/**
 * Milliseconds until the next whole multiple of a period. Tasks of one process that wait for it wake
 * together, so that an idle process wakes seldom.
 *
 * @example
 * await clock.sleep(untilBeat(clock.monotonic(), 200));
 */
export const untilBeat = (nowMs: number, periodMs: number): number => {
	const waitMs = periodMs - (nowMs % periodMs);
	return waitMs < periodMs * minWaitShare ? waitMs + periodMs : waitMs;
};
