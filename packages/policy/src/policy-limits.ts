/** Upper bounds that every policy section must respect. */
export const policyLimits = {
	maxSectionBytes: 64 * 1024,
	maxRanks: 8,
	maxJobsPerService: 500,
	maxJobNameLength: 256,
	maxPatternStars: 4,
	maxDeadlineMs: 120_000,
	maxRetries: 10,
	maxRoutes: 20_000,
	/** Several times an object of the platform's store, whose text may name a host once for all routes. */
	maxRoutesBytes: 4 * 1024 * 1024,
} as const;
