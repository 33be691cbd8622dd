/**
 * Seeds that the tests run: one that never failed, then every seed that ever failed, with the cause of
 * its failure.
 */
export const soakCases: ReadonlyArray<{readonly seed: number; readonly cause: string}> = [
	{seed: 1, cause: 'never failed'},
];
