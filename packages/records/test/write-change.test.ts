import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, createRandom, faultKinds} from '@medlarsaddle/core';
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import {type ObjectStore, Shard, type StoredObject, writeChange} from '../src/index.js';

const seed = 17;
const {signal} = new AbortController();
const down = err(Fault.of(faultKinds.storeUnavailable, 'down', 'wait'));
const moved = err(Fault.of(faultKinds.conflict, 'moved', 'read'));

/** How the fake store answers one call; `lost` applies a write and then drops its answer. */
type Answer = 'good' | 'down' | 'lost' | 'stale';

/** A store that shows one fault a call, in the order given, and is well afterwards. */
const fakeStore = (faults: readonly Answer[]) => {
	const objects = new Map<string, StoredObject[]>();
	const left = [...faults];
	const read = (name: string) => objects.get(name) ?? [{version: 0, value: undefined}];
	const store: ObjectStore = {
		async get(name) {
			const fault = left.shift();
			const states = read(name);
			return fault === 'down' || fault === 'lost'
				? down
				: ok(states.at(fault === 'stale' && states.length > 1 ? -2 : -1)!);
		},
		async put(name, value, ifVersion) {
			const fault = left.shift();
			const states = read(name);
			if (fault === 'down') {
				return down;
			}

			if (states.at(-1)!.version !== ifVersion) {
				return moved;
			}

			objects.set(name, [...states, {version: ifVersion + 1, value: structuredClone(value)}]);
			return fault === 'lost' ? down : ok(ifVersion + 1);
		},
		async watch() {
			return down;
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

const faultCases: Array<[string, readonly Answer[], number]> = [
	['no fault', [], 1],
	['the answer to the write is lost', ['good', 'lost'], 1],
	['the answer is lost and the read back fails twice', ['good', 'lost', 'down', 'down'], 1],
	['the store is down for the first calls', ['down', 'down', 'down'], 1],
	['the write fails before it takes effect', ['good', 'down'], 1],
	['the read back is stale', ['good', 'lost', 'stale'], 1],
];

for (const [what, faults, version] of faultCases) {
	test(`a change is written exactly once when ${what}`, async () => {
		const {store, changes} = fakeStore(faults);
		const written = await writeChange(deps(store), change('c1'), signal);
		assert.equal(written._unsafeUnwrap().version, version);
		assert.equal(changes().length, 1);
	});
}

test('a long outage is an honest fault, and the resend finds the write', async () => {
	const {store, changes} = fakeStore([
		'good',
		'lost',
		...Array.from<Answer>({length: 5}).fill('down'),
	]);
	const first = await writeChange(deps(store), change('c1'), signal);
	assert.match(first._unsafeUnwrapErr().message, /same change ID/v);
	const second = await writeChange(deps(store), change('c1'), signal);
	assert.equal(second._unsafeUnwrap().version, 1);
	assert.equal(changes().length, 1);
});

test('the losing operator of a race is told the current version and the remedy', async () => {
	const {store} = fakeStore([]);
	await writeChange(deps(store), change('c1'), signal);
	const lost = await writeChange(deps(store), change('c2'), signal);
	assert.equal(lost._unsafeUnwrapErr().kind, faultKinds.conflict);
	assert.match(
		lost._unsafeUnwrapErr().message,
		/at version 1, changed by c1, not 0\. Get the current/v,
	);
});

test('a store that was restored to an older state does not give a version twice', async () => {
	const {store} = fakeStore([]);
	const written = await writeChange(deps(store, 7), change('c1', 7), signal);
	assert.equal(written._unsafeUnwrap().version, 8);
});

test('operators that race under any faults never lose an accepted change nor share a version', async () => {
	const faults = fc.array(fc.constantFrom<Answer>('good', 'down', 'lost', 'stale'), {
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
