import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, createRandom, faultKinds} from '@medlarsaddle/core';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {type ObjectStore, Shard, type StoredObject, writeChange} from '../src/index.js';

const seed = 17;
const {signal} = new AbortController();
const storeUnavailable = err(Fault.of(faultKinds.storeUnavailable, 'down', 'wait'));
const versionConflict = err(Fault.of(faultKinds.conflict, 'moved', 'read'));

/** Response of the fake store to one call; `lost` applies a write and drops its response. */
type FakeResponse = 'good' | 'down' | 'lost' | 'stale';

/** A store that injects the given faults, one per call and in order, and then works normally. */
const fakeStore = (faults: readonly FakeResponse[]) => {
	const objects = new Map<string, StoredObject[]>();
	const remainingFaults = [...faults];
	const versionsOf = (name: string) =>
		objects.get(name) ?? [{position: undefined, value: undefined}];
	const store: ObjectStore = {
		async get(name) {
			const fault = remainingFaults.shift();
			const states = versionsOf(name);
			return fault === 'down' || fault === 'lost'
				? storeUnavailable
				: ok(states.at(fault === 'stale' && states.length > 1 ? -2 : -1)!);
		},
		async put(name, value, expected) {
			const fault = remainingFaults.shift();
			const states = versionsOf(name);
			if (fault === 'down') {
				return storeUnavailable;
			}

			if (states.at(-1)!.position?.revision !== expected?.revision) {
				return versionConflict;
			}

			const position = {era: 1, revision: states.length};
			objects.set(name, [...states, {position, value: structuredClone(value)}]);
			return fault === 'lost' ? storeUnavailable : ok(position);
		},
		async watch() {
			return storeUnavailable;
		},
		async close() {},
	};
	return {
		store,
		changes: () => [...objects.values()].flatMap(states => Shard.of(states.at(-1)!.value).changes),
	};
};

const deps = (store: ObjectStore, held = 0) => ({
	store,
	random: createRandom(seed),
	heldVersion: () => held,
	clock: {now: () => 1, monotonic: () => 1, async sleep() {}, after: () => () => {}},
});

const change = (changeId: string, expectedVersion = 0) => ({
	section: 'base',
	text: `text of ${changeId}`,
	expectedVersion,
	changeId,
	author: changeId,
});

const faultCases: Array<[string, readonly FakeResponse[], number]> = [
	['there is no fault', [], 1],
	['the response to the write is lost', ['good', 'lost'], 1],
	['the response is lost and reading back fails twice', ['good', 'lost', 'down', 'down'], 1],
	['the store is unavailable for the first calls', ['down', 'down', 'down'], 1],
	['the write fails before it takes effect', ['good', 'down'], 1],
	['reading back returns a stale object', ['good', 'lost', 'stale'], 1],
];

for (const [what, faults, version] of faultCases) {
	test(`a change is written exactly once when ${what}`, async () => {
		const {store, changes} = fakeStore(faults);
		const written = await writeChange(deps(store), change('c1'), signal);
		assert.equal(written._unsafeUnwrap().version, version);
		assert.equal(changes().length, 1);
	});
}

test('after a long outage the fault leaves the outcome open, and a resend finds the earlier write', async () => {
	const {store, changes} = fakeStore([
		'good',
		'lost',
		...Array.from<FakeResponse>({length: 5}).fill('down'),
	]);
	const first = await writeChange(deps(store), change('c1'), signal);
	assert.match(first._unsafeUnwrapErr().message, /same change ID/v);
	const second = await writeChange(deps(store), change('c1'), signal);
	assert.equal(second._unsafeUnwrap().version, 1);
	assert.equal(changes().length, 1);
});

test('of two concurrent changes the second gets a conflict with the current version and the remedy', async () => {
	const {store} = fakeStore([]);
	await writeChange(deps(store), change('c1'), signal);
	const lost = await writeChange(deps(store), change('c2'), signal);
	assert.equal(lost._unsafeUnwrapErr().kind, faultKinds.conflict);
	assert.match(
		lost._unsafeUnwrapErr().message,
		/at version 1, changed by c1, not 0\. Get the current/v,
	);
});

test('a store that was restored to an older state does not reuse a version', async () => {
	const {store} = fakeStore([]);
	const written = await writeChange(deps(store, 7), change('c1', 7), signal);
	assert.equal(written._unsafeUnwrap().version, 8);
});

test('concurrent operators never lose an accepted change or share a version, whatever the faults', async () => {
	const faults = fc.array(fc.constantFrom<FakeResponse>('good', 'down', 'lost', 'stale'), {
		maxLength: 30,
	});
	await fc.assert(
		fc.asyncProperty(faults, fc.integer({min: 2, max: 5}), async (answers, operators) => {
			const {store, changes} = fakeStore(answers);
			const written = await Promise.all(
				Array.from({length: operators}, async (_value, index) =>
					writeChange(deps(store), change(`c${index}`), signal),
				),
			);
			const accepted = written.flatMap(result => (result.isOk() ? [result.value] : []));
			assert.equal(new Set(accepted.map(({version}) => version)).size, accepted.length);
			for (const {changeId, version} of accepted) {
				const listed = changes().filter(found => found.changeId === changeId);
				assert.deepEqual(
					listed.map(found => found.version),
					[version],
				);
			}
		}),
		{seed},
	);
});
