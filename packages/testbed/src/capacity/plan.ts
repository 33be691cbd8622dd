/** The size that the system is designed for, and the limits that hold at that size. */
export const plan = {
	nodes: 7500,
	services: 550,
	dataCentres: 8,
	callsPerSecond: 560_000,
	changesPerDay: 11_000,
	restartsPerDay: 1300,
	failuresPerDay: 19,
	maxCoreShare: 0.012,
	maxStateMb: 64,
	maxBytesPerSecond: 6 * 1024,
	platformWritesPerSecond: 300,
	platformReadsPerSecond: 2000,
} as const;
