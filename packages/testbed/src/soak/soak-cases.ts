/** Seeds that the tests play: a plain one, then each that ever failed, with the cause. */
export const soakCases: ReadonlyArray<{readonly seed: number; readonly cause: string}> = [
	{seed: 1, cause: 'never failed'},
];
