/** Lengths of the buckets that history is kept in, in milliseconds, and how many of each are kept. */
export const levels = {
	minutes: {name: 'minutes', bucketMs: 60_000, kept: 6},
	tens: {name: 'tens', bucketMs: 600_000, kept: 7},
	hours: {name: 'hours', bucketMs: 3_600_000, kept: 73},
} as const;
