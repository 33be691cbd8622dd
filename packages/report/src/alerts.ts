/** How urgently the burn rate of an objective needs attention. */
export const alerts = {
	none: 'none',
	/** The error budget of a month would last for months; investigate in working hours. */
	slow: 'slow',
	/** The error budget of a month would last for days; act at once. */
	fast: 'fast',
} as const;
