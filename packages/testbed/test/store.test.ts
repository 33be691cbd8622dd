import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {createSystemClock, faultKinds} from '@medlarsaddle/core';
import {StoreClient, openStore} from '@medlarsaddle/platform';
import {Platform} from '../src/platform/platform.js';

const {signal} = new AbortController();

let platform: Platform;
let client: StoreClient;

before(async () => {
	platform = await Platform.start();
	client = StoreClient.create({url: platform.url, clock: createSystemClock(), onCall() {}});
});

beforeEach(() => {
	platform.setFaults({});
});

after(async () => {
	client.close();
	await platform.stop();
});

test('an object is created once, replaced at its current revision only, and removed', async () => {
	const created = await client.create('things', {name: 'a', spec: 1}, signal);
	const {position} = created._unsafeUnwrap();
	const repeated = await client.create('things', {name: 'a', spec: 2}, signal);
	assert.equal(repeated._unsafeUnwrapErr().kind, faultKinds.conflict);
	const replaced = await client.replace('things', {name: 'a', spec: 3, position}, signal);
	assert.ok(replaced._unsafeUnwrap().position.revision > position.revision);
	const outdated = await client.replace('things', {name: 'a', spec: 4, position}, signal);
	assert.equal(outdated._unsafeUnwrapErr().kind, faultKinds.conflict);
	const rejectedRemoval = await client.remove('things', 'a', position, signal);
	assert.equal(rejectedRemoval._unsafeUnwrapErr().kind, faultKinds.conflict);
	assert.ok((await client.remove('things', 'a', undefined, signal)).isOk());
	assert.equal((await client.get('things', 'a', signal))._unsafeUnwrap(), undefined);
	assert.ok((await client.remove('things', 'a', undefined, signal)).isOk());
});

test('replacing a missing object is distinguished from a failed store', async () => {
	const missing = await client.replace('things', {name: 'none', spec: 1}, signal);
	assert.equal(missing._unsafeUnwrapErr().kind, faultKinds.notFound);
});

test('a list of several pages is read completely', async () => {
	for (let index = 0; index < 1100; index++) {
		platform.write('many', `item-${String(index).padStart(4, '0')}`, index);
	}

	const {objects} = (await client.list('many', signal))._unsafeUnwrap();
	assert.equal(objects.length, 1100);
});

test('a watch returns the change it waited for and continues from its revision', async () => {
	const {position} = (await client.list('watched', signal))._unsafeUnwrap();
	const waiting = client.watch('watched', position, {waitMs: 5000}, signal);
	platform.write('other', 'x', 1);
	platform.write('watched', 'x', 1);
	const result = (await waiting)._unsafeUnwrap();
	assert.deepEqual(
		result.objects.map(({name, spec}) => [name, spec]),
		[['x', 1]],
	);
	const unchanged = (
		await client.watch('watched', result.position, {waitMs: 0}, signal)
	)._unsafeUnwrap();
	assert.equal(unchanged.objects.length, 0);
});

test('a watch from a revision outside the history fails, and the objects can be listed again', async () => {
	platform.write('short', 'x', 1);
	platform.objects.clearHistory();
	const expired = await client.watch('short', {era: 1, revision: 1}, {waitMs: 0}, signal);
	assert.equal(expired._unsafeUnwrapErr().kind, faultKinds.notFound);
	assert.equal((await client.list('short', signal))._unsafeUnwrap().objects.length, 1);
});

const failures: ReadonlyArray<{
	readonly name: string;
	readonly faults: Parameters<Platform['setFaults']>[0];
	readonly isStored: boolean;
}> = [
	{name: 'is down', faults: {isDown: true}, isStored: false},
	{name: 'rejects calls over its rate limit', faults: {refusals: 1}, isStored: false},
	{name: 'resets the connection', faults: {resets: true}, isStored: false},
	{name: 'never answers', faults: {isSilent: true}, isStored: false},
	{name: 'loses its response', faults: {loseAnswers: 1}, isStored: true},
];

/** Writes one object while the store has the given faults, then checks whether it was stored. */
const writeWithFaults = async (faults: (typeof failures)[number]['faults'], name: string) => {
	const outcomes: boolean[] = [];
	const countingClient = StoreClient.create({
		clock: createSystemClock(),
		url: platform.url,
		onCall() {},
		onOutcome(isAnswered) {
			outcomes.push(isAnswered);
		},
	});
	platform.setFaults(faults);
	const written = await countingClient.create('faulty', {name, spec: 1}, signal);
	platform.setFaults({});
	const found = (await countingClient.get('faulty', name, signal))._unsafeUnwrap();
	countingClient.close();
	return {written, calls: outcomes.length - 1, isStored: found !== undefined};
};

for (const [index, {name, faults, isStored}] of failures.entries()) {
	test(`a write to a store that ${name} fails as unavailable and is not retried`, async () => {
		const result = await writeWithFaults(faults, `o-${index}`);
		assert.equal(result.written._unsafeUnwrapErr().kind, faultKinds.storeUnavailable);
		assert.equal(result.calls, 1);
		assert.equal(result.isStored, isStored);
	});
}

test('the era is known from any response, also from a refusal', async () => {
	const {position} = (await client.list('things', signal))._unsafeUnwrap();
	assert.equal(position.era, platform.objects.era);
	platform.restore({ageMs: 0, areWatchesCut: false});
	platform.setFaults({refusals: 1});
	assert.ok((await client.list('things', signal)).isErr());
	assert.equal(client.era.current, position.era + 1);
});

/** Starts a watch that waits while the store is restored to before the change that it has seen. */
const watchThroughRestore = async (outcomes: boolean[]) => {
	const {url} = platform;
	const own = StoreClient.create({
		url,
		clock: createSystemClock(),
		onCall() {},
		onOutcome: isAnswered => outcomes.push(isAnswered),
	});
	const copied = platform.objects.storeRevision;
	platform.write('outlived', 'x', copied);
	const {position} = (await own.list('outlived', signal))._unsafeUnwrap();
	const watched = platform.counts.watch;
	const waiting = own.watch('outlived', position, {waitMs: 5000}, signal);
	while (platform.counts.watch === watched) {
		await setImmediate();
	}

	platform.objects.restore(copied);
	return {own, waiting};
};

test('a watch that outlives a restore and then ends has to list again', async () => {
	const {own, waiting} = await watchThroughRestore([]);
	platform.write('outlived', 'x', 'again');
	platform.write('outlived', 'x', 'later');
	assert.equal((await waiting)._unsafeUnwrapErr().kind, faultKinds.notFound);
	own.close();
});

test('a watch that outlives a restore is given up once another response names the new era', async () => {
	const outcomes: boolean[] = [];
	const {own, waiting} = await watchThroughRestore(outcomes);
	await own.get('other', 'x', signal);
	assert.equal((await waiting)._unsafeUnwrapErr().kind, faultKinds.notFound);
	assert.deepEqual(outcomes, [true, true]);
	own.close();
});

test('a watch finds a change to a record whose history was cleared', async () => {
	const store = openStore({
		url: platform.url,
		clock: createSystemClock(),
		onCall() {},
		canReach: () => true,
	});
	const position = (await store.put('record', {at: 1}, undefined, signal))._unsafeUnwrap();
	await store.put('record', {at: 2}, position, signal);
	platform.objects.clearHistory();
	const before = {...position, revision: position.revision - 1};
	const result = (await store.watch('record', before, signal))._unsafeUnwrap();
	assert.deepEqual(result?.value, {at: 2});
	await store.close();
});
