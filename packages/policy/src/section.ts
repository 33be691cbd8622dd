/**
 * A versioned policy section, as the platform stores it and nodes replicate it. The version of a
 * section only increases, and the higher version always wins.
 *
 * @example
 * const newest = a.version > b.version ? a : b;
 */
export type Section = {
	readonly name: string;
	readonly version: number;
	readonly changeId: string;
	readonly author: string;
	readonly atMs: number;
	readonly text: string;
};
