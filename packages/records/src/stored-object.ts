/**
 * An object in the platform's store. Version 0 means that it does not exist.
 *
 * @example
 * const {version, value} = object;
 */
export type StoredObject = {
	readonly version: number;
	readonly value: unknown;
};
