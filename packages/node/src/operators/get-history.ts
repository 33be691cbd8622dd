import type {Fault} from '@medlarsaddle/core';
import {type ChangeRecord, type ObjectStore, Shard} from '@medlarsaddle/records';
import {type Result, err, ok} from 'neverthrow';

/**
 * Reads accepted changes from the platform, newest first.
 *
 * @example
 * const changes = await getHistory(store, 'base', signal);
 */
export const getHistory = async (
	store: ObjectStore,
	section: string,
	signal: AbortSignal,
): Promise<Result<ChangeRecord[], Fault>> => {
	const names = section === '' ? Shard.names : [Shard.nameFor(section)];
	const changes: ChangeRecord[] = [];
	for (const name of names) {
		const read = await store.get(name, signal);
		if (read.isErr()) {
			return err(read.error);
		}

		changes.push(...Shard.of(read.value.value).changes);
	}

	return ok(
		changes
			.filter(change => section === '' || change.section === section)
			.toSorted((a, b) => b.atMs - a.atMs || b.version - a.version),
	);
};
