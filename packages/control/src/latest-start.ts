type Opts = {
	readonly nowMs: number;
	readonly deadlineMs: number;
	/** Time that calls of the same job hold their place, in milliseconds; 0 when it is not known. */
	readonly holdMs: number;
	/** Time that calls of all jobs hold their place, in milliseconds. */
	readonly meanHoldMs: number;
	/** Whether the limit of a new upstream is still being found. */
	readonly isRamping: boolean;
};

const minQueueWaitMs = 200;

/** Least wait allowed while the limit of a new upstream is still being found, in milliseconds. */
const rampQueueWaitMs = 1000;

/** How long a call may wait, in times that a call holds its place. */
const queueWaitCalls = 4;

/** Share of the time to its deadline that a call may wait at least, however long calls take. */
const minWaitShare = 0.5;

/**
 * The time until which a call that waits for a place may still be started, in monotonic milliseconds.
 * Under a standing overload all calls would wait until they could not end in time any more; one that
 * is refused earlier can go elsewhere.
 *
 * @example
 * latestStart({nowMs: 0, deadlineMs: 1000, holdMs: 40, meanHoldMs: 60, isRamping: false}); // 240
 */
export const latestStart = ({nowMs, deadlineMs, holdMs, meanHoldMs, isRamping}: Opts): number => {
	const leastMs = isRamping ? rampQueueWaitMs : minQueueWaitMs;
	const maxWaitMs = Math.max(leastMs, meanHoldMs * queueWaitCalls);
	const latestMs = Math.max(deadlineMs - holdMs, nowMs + (deadlineMs - nowMs) * minWaitShare);
	return Math.min(latestMs, nowMs + maxWaitMs);
};
