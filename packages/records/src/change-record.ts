/**
 * One accepted change to a section, as listed in the policy history.
 *
 * @example
 * console.log(record.section, record.version, record.author);
 */
export type ChangeRecord = {
	readonly section: string;
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	readonly atMs: number;
};
