/** Times of the membership protocol, in milliseconds. */
export const gossipTiming = {
	probePeriodMs: 1000,
	ackTimeoutMs: 300,
	suspicionMs: 3000,
	/** A process that was not scheduled for this long has lost its lease. */
	leaseMs: 2500,
	syncIntervalMs: 1000,
	contactIntervalMs: 5000,
	/** When news of a section is pushed again, counted from the first time. */
	sectionPushesMs: [120, 360],
} as const;
