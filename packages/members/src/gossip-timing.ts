/** Periods and timeouts of the membership protocol, in milliseconds. */
export const gossipTiming = {
	probePeriodMs: 1000,
	ackTimeoutMs: 300,
	suspicionTimeoutMs: 3000,
	/** A process that was not scheduled for longer than this has lost its lease. */
	leaseMs: 2500,
	syncIntervalMs: 1000,
	contactIntervalMs: 5000,
	/** When a rumor about a section is pushed again, counted from the first push. */
	sectionPushDelaysMs: [120, 360],
} as const;
