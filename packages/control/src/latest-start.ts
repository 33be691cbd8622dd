type Opts = {
	readonly nowMs: number;
	readonly deadlineMs: number;
	/** Hold time of the same job, in milliseconds; 0 when it is unknown. */
	readonly holdMs: number;
	/** Mean hold time of all jobs, in milliseconds. */
	readonly meanHoldMs: number;
	/** Whether the concurrency limit of a new upstream is still ramping up. */
	readonly isRamping: boolean;
};

const minQueueWaitMs = 200;

/** Lower bound for the maximum wait while the limit of a new upstream is still ramping up. */
const rampQueueWaitMs = 1000;

/** Maximum wait, as a multiple of the mean hold time. */
const queueWaitFactor = 4;

/** Share of the time to its deadline that a call may wait even if its job is slow. */
const minWaitShare = 0.5;

/**
 * The latest time at which a queued call may still be started, in monotonic milliseconds. Without
 * this bound, under a persistent overload every call would wait until it could no longer end by its
 * deadline; a call that is refused earlier can go to another endpoint.
 *
 * @example
 * latestStart({nowMs: 0, deadlineMs: 1000, holdMs: 40, meanHoldMs: 60, isRamping: false}); // 240
 */
export const latestStart = ({nowMs, deadlineMs, holdMs, meanHoldMs, isRamping}: Opts): number => {
	const maxWaitFloorMs = isRamping ? rampQueueWaitMs : minQueueWaitMs;
	const maxWaitMs = Math.max(maxWaitFloorMs, meanHoldMs * queueWaitFactor);
	const latestMs = Math.max(deadlineMs - holdMs, nowMs + (deadlineMs - nowMs) * minWaitShare);
	return Math.min(latestMs, nowMs + maxWaitMs);
};
