import type {StorePosition} from './store-position.js';

/**
 * An object in the platform's store.
 *
 * @example
 * const {position, value} = object;
 */
export type StoredObject = {
	/** Position of its latest change; undefined if it does not exist. */
	readonly position: StorePosition | undefined;
	readonly value: unknown;
};
