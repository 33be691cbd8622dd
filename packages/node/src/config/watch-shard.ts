import {type Clock, type Log, type Random, events} from '@medlarsaddle/core';
import type {Section} from '@medlarsaddle/policy';
import {type ObjectStore, Shard, type StoredObject} from '@medlarsaddle/records';
import type {Task} from '@medlarsaddle/supervise';
import type {Config} from './config.js';
import type {StoreHealth} from './store-health.js';

type Deps = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly config: Config;
	readonly health: StoreHealth;
	/** Whether this node is one of the few that read a shard for its data centre. */
	readonly isReader: (shard: string) => boolean;
};

const readerCheckMs = 1000;
const minRetryMs = 200;
const maxRetryMs = 1500;

/**
 * Task that watches one shard of the policy while this node is one of its readers. Two readers at
 * once do no harm, since a section is applied only when it is newer. Sections that the store has lost,
 * as when it was restored from a copy, are written to it again.
 *
 * @example
 * supervisor.start({name: shard, task: watchShard(deps, shard), restart: restartPolicies.always});
 */
export const watchShard =
	({store, clock, random, log, config, health, isReader}: Deps, shard: string): Task =>
	async (signal, ready) => {
		ready();
		let read: Pick<StoredObject, 'position'> | undefined;
		let retryMs = minRetryMs;
		while (!signal.aborted) {
			if (!isReader(shard)) {
				read = undefined;
				await clock.sleep(readerCheckMs * (0.5 + random.next()), signal);
				continue;
			}

			const response =
				read === undefined
					? await store.get(shard, signal)
					: await store.watch(shard, read.position, signal);
			if (response.isErr()) {
				if (!signal.aborted && health.recordFailure()) {
					log(events.storeUnavailable, {shard, error: response.error.what});
				}

				await clock.sleep(retryMs * (0.5 + random.next()), signal);
				retryMs = Math.min(maxRetryMs, retryMs * 2);
				continue;
			}

			retryMs = minRetryMs;
			if (health.recordSuccess()) {
				log(events.storeAvailable, {shard});
			}

			read = response.value ?? read;
			const stored = Shard.of(response.value?.value);
			for (const section of Object.values(stored.sections)) {
				config.apply(section, 'store');
			}

			const lost = response.value ? sectionsMissingFrom(stored, shard, config) : [];
			if (lost.length > 0) {
				const restored = withSections(stored, lost);
				const put = await store.put(shard, restored, read?.position, signal);
				// After a conflict another reader has written them, which a new read tells.
				read = put.isOk() ? {position: put.value} : undefined;
				await clock.sleep(put.isOk() ? 0 : retryMs * (0.5 + random.next()), signal);
			}
		}
	};

/** Sections of a shard that are in force here in a version newer than the stored one. */
const sectionsMissingFrom = (stored: Shard, shard: string, {policy}: Config): Section[] =>
	[...policy.sections.values()].filter(
		({name, version}) =>
			Shard.nameFor(name) === shard && version > (stored.sections[name]?.version ?? 0),
	);

const withSections = (stored: Shard, sections: readonly Section[]): Shard => {
	let shard = stored;
	for (const section of sections) {
		shard = shard.with(section);
	}

	return shard;
};
