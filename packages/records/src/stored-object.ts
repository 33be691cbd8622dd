/**
 * An object as the platform holds it. Version 0 stands for one that does not exist.
 *
 * @example
 * const {version, value} = object;
 */
export type StoredObject = {
	readonly version: number;
	readonly value: unknown;
};
