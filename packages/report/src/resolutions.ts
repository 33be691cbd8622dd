/** Resolutions of the history: the bucket length in milliseconds and the number of buckets kept. */
export const resolutions = {
	minutes: {name: 'minutes', bucketMs: 60_000, keptBuckets: 6},
	tens: {name: 'tens', bucketMs: 600_000, keptBuckets: 7},
	hours: {name: 'hours', bucketMs: 3_600_000, keptBuckets: 73},
} as const;
