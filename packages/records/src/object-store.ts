import type {Fault} from '@medlarsaddle/core';
import type {Result} from 'neverthrow';
import type {StorePosition} from './store-position.js';
import type {StoredObject} from './stored-object.js';

/**
 * The part of the platform's object API that the system uses.
 *
 * @example
 * const read = await store.get('policy-0', signal);
 */
export type ObjectStore = {
	/** Reads an object. */
	get(name: string, signal: AbortSignal): Promise<Result<StoredObject, Fault>>;
	/**
	 * Writes an object if its position is still `expected`, and returns the new one. If it is not, the
	 * fault is of kind `conflict`; after any other fault the write may have taken effect.
	 */
	put(
		name: string,
		value: unknown,
		expected: StorePosition | undefined,
		signal: AbortSignal,
	): Promise<Result<StorePosition, Fault>>;
	/**
	 * Waits until the object changes after a position; returns undefined if the wait times out.
	 */
	watch(
		name: string,
		after: StorePosition | undefined,
		signal: AbortSignal,
	): Promise<Result<StoredObject | undefined, Fault>>;
	/** Closes every connection. */
	close(): Promise<void>;
};
