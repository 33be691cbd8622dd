import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, ManualClock, faultKinds} from '@medlarsaddle/core';
import type {ObjectStore, StoredObject} from '@medlarsaddle/records';
import {type OutcomeHistory, Tally, computeBurn, outcomeClasses} from '@medlarsaddle/report';
import {err, ok} from 'neverthrow';
import {Collector} from '../src/report/collector.js';
import {readReport} from '../src/report/read-report.js';
import {shards} from '../src/report/shards.js';

const service = 'payment';
const shard = shards.of(service);
const {signal} = new AbortController();
const startMs = 1_800_000_000_000;

const storeUnavailable = Fault.of(faultKinds.storeUnavailable, 'down', 'wait');
const versionConflict = Fault.of(faultKinds.conflict, 'newer', 'read again');

/** An in-memory object store whose calls can be made to fail or to lose their answers. */
const createStore = () => {
	const objects = new Map<string, StoredObject>();
	const faults = {isDown: false, answersToLose: 0};
	const store: ObjectStore = {
		async get(name) {
			return faults.isDown
				? err(storeUnavailable)
				: ok(objects.get(name) ?? {position: undefined, value: undefined});
		},
		async put(name, value, expected) {
			if (faults.isDown) {
				return err(storeUnavailable);
			}

			const revision = objects.get(name)?.position?.revision;
			if (revision !== expected?.revision) {
				return err(versionConflict);
			}

			const position = {era: 1, revision: (revision ?? 0) + 1};
			objects.set(name, {position, value: structuredClone(value)});
			if (faults.answersToLose > 0) {
				faults.answersToLose--;
				return err(storeUnavailable);
			}

			return ok(position);
		},
		async watch() {
			return ok(undefined);
		},
		async close() {},
	};
	return {store, faults, objects};
};

type Fixture = ReturnType<typeof createStore> & {
	readonly clock: ManualClock;
	readonly collector: Collector;
	readonly other: Collector;
};

const createFixture = (): Fixture => {
	const fakeStore = createStore();
	const clock = ManualClock.at(startMs);
	const create = (issuer: string) =>
		Collector.create({clock, log() {}, store: fakeStore.store, dataCentre: 'dc1', issuer});
	return {...fakeStore, clock, collector: create('a#1'), other: create('b#1')};
};

const createHistory = (requests: number): OutcomeHistory => {
	const tally = Tally.create();
	for (let index = 0; index < requests; index++) {
		const outcome = outcomeClasses.good;
		tally.count({service, rank: 'critical', outcome, cause: '', elapsedMs: 5});
	}

	return tally.flush(startMs);
};

const batch = (sequence: number, requests: number, from = 'node#1') => ({
	from,
	sequence,
	shard,
	history: createHistory(requests),
});

const totalIn = async ({clock, store}: Fixture): Promise<number> => {
	const read = await readReport({clock, store, knownDataCentres: ['dc1']}, signal);
	const rows = computeBurn(
		read!.flatMap(({histories}) => histories),
		() => ({goodShare: 0.99, withinMs: 0}),
		clock.now(),
	);
	return rows.reduce((sum, {counts}) => sum + counts.total, 0);
};

const cases: ReadonlyArray<readonly [string, number, (fixture: Fixture) => Promise<void>]> = [
	[
		'a batch that is sent twice counts once',
		3,
		async ({collector}) => {
			collector.add(batch(1, 3));
			collector.add(batch(1, 3));
			await collector.flush(shard, signal);
		},
	],
	[
		'a batch with the same sequence from another process counts',
		5,
		async ({collector}) => {
			collector.add(batch(1, 3));
			collector.add(batch(1, 2, 'node#2'));
			await collector.flush(shard, signal);
		},
	],
	[
		'a write that took effect is not repeated when its answer is lost',
		7,
		async ({collector, faults}) => {
			collector.add(batch(1, 3));
			faults.answersToLose = 1;
			assert.equal(await collector.flush(shard, signal), false);
			collector.add(batch(2, 4));
			await collector.flush(shard, signal);
			await collector.flush(shard, signal);
		},
	],
	[
		'two collectors that write at once lose no counts',
		10,
		async ({collector, other}) => {
			collector.add(batch(1, 1));
			other.add(batch(1, 2, 'node#2'));
			await collector.flush(shard, signal);
			await other.flush(shard, signal);
			collector.add(batch(2, 3));
			await collector.flush(shard, signal);
			await collector.flush(shard, signal);
			other.add(batch(2, 4, 'node#2'));
			await other.flush(shard, signal);
			await other.flush(shard, signal);
		},
	],
	[
		'counts from a store outage are written once after it',
		6,
		async ({collector, faults}) => {
			collector.add(batch(1, 1));
			faults.isDown = true;
			await collector.flush(shard, signal);
			collector.add(batch(2, 2));
			await collector.flush(shard, signal);
			collector.add(batch(3, 3));
			faults.isDown = false;
			await collector.flush(shard, signal);
			await collector.flush(shard, signal);
		},
	],
	[
		'a stored value that is malformed counts as empty',
		2,
		async ({collector, objects}) => {
			objects.set(shards.objectName('dc1', shard), {
				position: {era: 1, revision: 9},
				value: {rows: 'none', writes: 1},
			});
			collector.add(batch(1, 2));
			await collector.flush(shard, signal);
		},
	],
];

for (const [name, total, run] of cases) {
	test(name, async () => {
		const fixture = createFixture();
		await run(fixture);
		assert.equal(await totalIn(fixture), total);
	});
}

test('counts that could not be written can be sent to another collector', async () => {
	const fixture = createFixture();
	const {collector, other, faults} = fixture;
	collector.add(batch(1, 4));
	faults.isDown = true;
	await collector.flush(shard, signal);
	collector.add(batch(2, 5));
	const released = collector.release(shard);
	faults.isDown = false;
	other.add({from: 'a#1', sequence: 1, shard, history: released});
	await other.flush(shard, signal);
	assert.equal(await totalIn(fixture), 9);
});

test('the report has the age of each data centre, undefined if it never wrote', async () => {
	const fixture = createFixture();
	const {collector, clock, store} = fixture;
	await collector.registerDataCentre(signal);
	await collector.flush(shard, signal);
	await clock.advance(90_000);
	const read = await readReport({clock, store, knownDataCentres: ['dc2']}, signal);
	assert.deepEqual(
		read!.map(({name, ageMs}) => [name, ageMs]),
		[
			['dc1', 90_000],
			['dc2', undefined],
		],
	);
});
