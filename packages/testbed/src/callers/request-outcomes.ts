/** Outcomes of a request, as its caller sees them. */
export const requestOutcomes = {
	good: 'good',
	late: 'late',
	notRun: 'not-run',
	unknown: 'unknown',
	failed: 'failed',
	wrong: 'wrong',
} as const;
