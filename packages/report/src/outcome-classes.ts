/** Outcome of a whole request, as it counts towards its objective. */
export const outcomeClasses = {
	good: 'good',
	late: 'late',
	refused: 'refused',
	failed: 'failed',
	unknown: 'unknown',
} as const;
