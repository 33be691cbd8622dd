/** Headers of the HTTP interface for callers, which docs/CALLERS.md describes. */
export const headerNames = {
	job: 'medlar-job',
	deadline: 'medlar-deadline-ms',
	rank: 'medlar-rank',
	key: 'idempotency-key',
	context: 'medlar-context',
	rootId: 'medlar-root-id',
	retriesLeft: 'medlar-retries-left',
	nextKey: 'medlar-next-key',
	run: 'medlar-run',
	refusal: 'medlar-refusal',
} as const;
