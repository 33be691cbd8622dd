import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, ManualClock, faultKinds} from '@medlarsaddle/core';
import type {ObjectStore} from '@medlarsaddle/records';
import {type History, Tally, burn, outcomeClasses} from '@medlarsaddle/report';
import {err, ok} from 'neverthrow';
import {Collector} from '../src/report/collector.js';
import {readReport} from '../src/report/read-report.js';
import {shards} from '../src/report/shards.js';

const service = 'payment';
const shard = shards.of(service);
const {signal} = new AbortController();
const startMs = 1_800_000_000_000;

const down = Fault.of(faultKinds.storeUnavailable, 'down', 'wait');
const conflict = Fault.of(faultKinds.conflict, 'newer', 'read again');

/** An object store in memory whose next calls can be made to fail. */
const createStore = () => {
	const objects = new Map<string, {version: number; value: unknown}>();
	const faults = {isDown: false, answersToLose: 0};
	const store: ObjectStore = {
		async get(name) {
			return faults.isDown ? err(down) : ok(objects.get(name) ?? {version: 0, value: undefined});
		},
		async put(name, value, ifVersion) {
			if (faults.isDown) {
				return err(down);
			}

			const version = objects.get(name)?.version ?? 0;
			if (version !== ifVersion) {
				return err(conflict);
			}

			objects.set(name, {
				version: version + 1,
				value: structuredClone(value),
			});
			if (faults.answersToLose > 0) {
				faults.answersToLose--;
				return err(down);
			}

			return ok(version + 1);
		},
		async watch() {
			return ok(undefined);
		},
		async close() {},
	};
	return {store, faults, objects};
};

type World = ReturnType<typeof createStore> & {
	readonly clock: ManualClock;
	readonly collector: Collector;
	readonly other: Collector;
};

const createWorld = (): World => {
	const made = createStore();
	const clock = ManualClock.at(startMs);
	const create = (issuer: string) =>
		Collector.create({clock, log() {}, store: made.store, dataCentre: 'dc1', issuer});
	return {...made, clock, collector: create('a#1'), other: create('b#1')};
};

const counted = (requests: number): History => {
	const tally = Tally.create();
	for (let index = 0; index < requests; index++) {
		const outcome = outcomeClasses.good;
		tally.count({service, rank: 'critical', outcome, cause: '', elapsedMs: 5});
	}

	return tally.take(startMs);
};

const batch = (sequence: number, requests: number, from = 'node#1') => ({
	from,
	sequence,
	shard,
	history: counted(requests),
});

const totalIn = async ({clock, store}: World): Promise<number> => {
	const read = await readReport({clock, store, known: ['dc1']}, signal);
	const rows = burn(
		read!.flatMap(({histories}) => histories),
		() => ({goodShare: 0.99, withinMs: 0}),
		clock.now(),
	);
	return rows.reduce((sum, {counts}) => sum + counts.total, 0);
};

const cases: ReadonlyArray<readonly [string, number, (world: World) => Promise<void>]> = [
	[
		'a batch that is sent twice counts once',
		3,
		async ({collector}) => {
			collector.take(batch(1, 3));
			collector.take(batch(1, 3));
			await collector.flush(shard, signal);
		},
	],
	[
		'the same sequence of another process counts',
		5,
		async ({collector}) => {
			collector.take(batch(1, 3));
			collector.take(batch(1, 2, 'node#2'));
			await collector.flush(shard, signal);
		},
	],
	[
		'an answer that is lost after the write took effect does not count twice',
		7,
		async ({collector, faults}) => {
			collector.take(batch(1, 3));
			faults.answersToLose = 1;
			assert.equal(await collector.flush(shard, signal), false);
			collector.take(batch(2, 4));
			await collector.flush(shard, signal);
			await collector.flush(shard, signal);
		},
	],
	[
		'two collectors at once lose nothing',
		10,
		async ({collector, other}) => {
			collector.take(batch(1, 1));
			other.take(batch(1, 2, 'node#2'));
			await collector.flush(shard, signal);
			await other.flush(shard, signal);
			collector.take(batch(2, 3));
			await collector.flush(shard, signal);
			await collector.flush(shard, signal);
			other.take(batch(2, 4, 'node#2'));
			await other.flush(shard, signal);
			await other.flush(shard, signal);
		},
	],
	[
		'what was counted during an outage is written after it, once',
		6,
		async ({collector, faults}) => {
			collector.take(batch(1, 1));
			faults.isDown = true;
			await collector.flush(shard, signal);
			collector.take(batch(2, 2));
			await collector.flush(shard, signal);
			collector.take(batch(3, 3));
			faults.isDown = false;
			await collector.flush(shard, signal);
			await collector.flush(shard, signal);
		},
	],
	[
		'a stored value that is malformed counts as empty',
		2,
		async ({collector, objects}) => {
			objects.set(shards.objectOf('dc1', shard), {version: 9, value: {rows: 'none', writes: 1}});
			collector.take(batch(1, 2));
			await collector.flush(shard, signal);
		},
	],
];

for (const [name, total, run] of cases) {
	test(name, async () => {
		const world = createWorld();
		await run(world);
		assert.equal(await totalIn(world), total);
	});
}

test('what the platform did not take can go to another collector', async () => {
	const world = createWorld();
	const {collector, other, faults} = world;
	collector.take(batch(1, 4));
	faults.isDown = true;
	await collector.flush(shard, signal);
	collector.take(batch(2, 5));
	const released = collector.release(shard);
	faults.isDown = false;
	other.take({from: 'a#1', sequence: 1, shard, history: released});
	await other.flush(shard, signal);
	assert.equal(await totalIn(world), 9);
});

test('a data centre that stopped reporting shows its age, one that never did shows none', async () => {
	const world = createWorld();
	const {collector, clock, store} = world;
	await collector.list(signal);
	await collector.flush(shard, signal);
	await clock.advance(90_000);
	const read = await readReport({clock, store, known: ['dc2']}, signal);
	assert.deepEqual(
		read!.map(({name, ageMs}) => [name, ageMs]),
		[
			['dc1', 90_000],
			['dc2', undefined],
		],
	);
});
