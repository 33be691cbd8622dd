/**
 * The record of one key as it is handed over. Without an answer the outcome of the key is unknown.
 *
 * @example
 * successor.importRecords([{key, fingerprint, atMs, answer}]);
 */
export type KeyRecord<Answer> = {
	readonly key: string;
	readonly fingerprint: string;
	readonly atMs: number;
	readonly answer?: Answer;
};
