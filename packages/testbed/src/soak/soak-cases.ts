type SoakCase = {
	readonly seed: number;
	readonly cause: string;
	readonly hosts: number;
	readonly callersPerHost: number;
	/** Length of the period in which a series of steps may start, in milliseconds. */
	readonly lengthMs: number;
};

const failed = {hosts: 6, callersPerHost: 4, lengthMs: 10_000};

/**
 * Seeds that the tests run: one that never failed, then every seed that ever failed, with the cause of
 * its failure.
 */
export const soakCases: readonly SoakCase[] = [
	{seed: 1, cause: 'never failed', hosts: 4, callersPerHost: 2, lengthMs: 5000},
	{seed: 1001, cause: 'a head of blanks stopped a node', ...failed},
	{seed: 1002, cause: 'a departure was forgotten by a restart', ...failed},
	{seed: 1005, cause: 'an answer cut off by the node was passed on as whole', ...failed},
];
