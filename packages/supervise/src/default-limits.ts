/** Default restart and stop limits of a supervisor. */
export const defaultLimits = {
	maxRestarts: 10,
	restartWindowMs: 30_000,
	initialBackoffMs: 20,
	maxBackoffMs: 2000,
	stopTimeoutMs: 15_000,
} as const;
