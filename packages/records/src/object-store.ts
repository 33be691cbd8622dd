import type {Fault} from '@medlarsaddle/core';
import type {Result} from 'neverthrow';
import type {StoredObject} from './stored-object.js';

/**
 * The platform's object API, as far as the system uses it.
 *
 * @example
 * const read = await store.get('policy-0', signal);
 */
export type ObjectStore = {
	/** Reads an object. */
	get(name: string, signal: AbortSignal): Promise<Result<StoredObject, Fault>>;
	/**
	 * Writes an object if it still has version `ifVersion`. A conflict is a fault of its own kind;
	 * any other fault leaves open whether the write took effect.
	 */
	put(
		name: string,
		value: unknown,
		ifVersion: number,
		signal: AbortSignal,
	): Promise<Result<number, Fault>>;
	/** Waits until the object is newer than `afterVersion`; undefined when the wait ended first. */
	watch(
		name: string,
		afterVersion: number,
		signal: AbortSignal,
	): Promise<Result<StoredObject | undefined, Fault>>;
	/** Closes every connection. */
	close(): Promise<void>;
};
