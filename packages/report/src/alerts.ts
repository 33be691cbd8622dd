/** What the burn of an objective calls for. */
export const alerts = {
	none: 'none',
	/** The budget of a month would be spent in months; look at it in working hours. */
	slow: 'slow',
	/** The budget of a month would be spent in days; act at once. */
	fast: 'fast',
} as const;
