/** How a whole request counts against its objective. */
export const outcomeClasses = {
	good: 'good',
	late: 'late',
	refused: 'refused',
	failed: 'failed',
	unknown: 'unknown',
} as const;
