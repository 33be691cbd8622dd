/** Whether a refused request may have run. */
export const runStates = {
	/** It did not run and will not run. */
	notRun: 'not-run',
	/** It may have run. */
	unknown: 'unknown',
} as const;
