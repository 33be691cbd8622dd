import type {Fault} from '@medlarsaddle/core';
import type {Result} from 'neverthrow';
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
	 * Writes an object if its version is still `expectedVersion`, and returns the new version. If it
	 * is not, the fault is of kind `conflict`; after any other fault the write may have taken effect.
	 */
	put(
		name: string,
		value: unknown,
		expectedVersion: number,
		signal: AbortSignal,
	): Promise<Result<number, Fault>>;
	/**
	 * Waits until the object is newer than `afterVersion`; returns undefined if the wait times out.
	 */
	watch(
		name: string,
		afterVersion: number,
		signal: AbortSignal,
	): Promise<Result<StoredObject | undefined, Fault>>;
	/** Closes every connection. */
	close(): Promise<void>;
};
