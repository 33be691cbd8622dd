/**
 * One key as it is handed over; without an answer its outcome is unknown.
 *
 * @example
 * heir.takeRecords([{key, fingerprint, atMs, answer}]);
 */
export type KeyRecord<Answer> = {
	readonly key: string;
	readonly fingerprint: string;
	readonly atMs: number;
	readonly answer?: Answer;
};
