/**
 * A policy section in a stored shard.
 *
 * @example
 * const section: StoredSection = shard.sections['base'];
 */
export type StoredSection = {
	readonly name: string;
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	readonly atMs: number;
	readonly text: string;
};
