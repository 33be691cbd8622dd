/** How a request ended, as its caller sees it. */
export const requestOutcomes = {
	good: 'good',
	late: 'late',
	notRun: 'not-run',
	unknown: 'unknown',
	failed: 'failed',
	wrong: 'wrong',
} as const;
