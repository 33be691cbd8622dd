import assert from 'node:assert/strict';
import {after, before, beforeEach, test} from 'node:test';
import {faultKinds} from '@medlarsaddle/core';
import {StoreClient, openStore} from '@medlarsaddle/platform';
import {Platform} from '../src/platform/platform.js';

const {signal} = new AbortController();

let platform: Platform;
let client: StoreClient;

before(async () => {
	platform = await Platform.start();
	client = StoreClient.create({url: platform.url, onCall() {}});
});

beforeEach(() => {
	platform.setFaults({});
});

after(async () => {
	await client.close();
	await platform.stop();
});

test('an object is created once, replaced at its revision only, and removed', async () => {
	const created = await client.create('things', {name: 'a', spec: 1}, signal);
	const {revision} = created._unsafeUnwrap();
	const again = await client.create('things', {name: 'a', spec: 2}, signal);
	assert.equal(again._unsafeUnwrapErr().kind, faultKinds.conflict);
	const replaced = await client.replace('things', {name: 'a', spec: 3, revision}, signal);
	assert.ok(replaced._unsafeUnwrap().revision > revision);
	const outdated = await client.replace('things', {name: 'a', spec: 4, revision}, signal);
	assert.equal(outdated._unsafeUnwrapErr().kind, faultKinds.conflict);
	const held = await client.remove('things', 'a', revision, signal);
	assert.equal(held._unsafeUnwrapErr().kind, faultKinds.conflict);
	assert.ok((await client.remove('things', 'a', undefined, signal)).isOk());
	assert.equal((await client.get('things', 'a', signal))._unsafeUnwrap(), undefined);
	assert.ok((await client.remove('things', 'a', undefined, signal)).isOk());
});

test('replacing what is not there is told from a store that fails', async () => {
	const missing = await client.replace('things', {name: 'none', spec: 1}, signal);
	assert.equal(missing._unsafeUnwrapErr().kind, faultKinds.notFound);
});

test('a list of several pages is read whole', async () => {
	for (let index = 0; index < 1100; index++) {
		platform.write('many', `item-${String(index).padStart(4, '0')}`, index);
	}

	const {objects} = (await client.list('many', signal))._unsafeUnwrap();
	assert.equal(objects.length, 1100);
});

test('a watch tells of the change it waited for, and goes on from there', async () => {
	const {revision} = (await client.list('watched', signal))._unsafeUnwrap();
	const waiting = client.watch('watched', revision, 5000, signal);
	platform.write('other', 'x', 1);
	platform.write('watched', 'x', 1);
	const seen = (await waiting)._unsafeUnwrap();
	assert.deepEqual(
		seen.objects.map(({name, spec}) => [name, spec]),
		[['x', 1]],
	);
	const none = (await client.watch('watched', seen.revision, 0, signal))._unsafeUnwrap();
	assert.equal(none.objects.length, 0);
});

test('a watch into history that is gone says so, and the objects can be listed anew', async () => {
	platform.write('short', 'x', 1);
	platform.objects.forgetHistory();
	const gone = await client.watch('short', 1, 0, signal);
	assert.equal(gone._unsafeUnwrapErr().kind, faultKinds.notFound);
	assert.equal((await client.list('short', signal))._unsafeUnwrap().objects.length, 1);
});

const failures: ReadonlyArray<{
	readonly name: string;
	readonly faults: Parameters<Platform['setFaults']>[0];
	readonly hasWritten: boolean;
}> = [
	{name: 'is down', faults: {isDown: true}, hasWritten: false},
	{name: 'refuses for its rate', faults: {refusals: 1}, hasWritten: false},
	{name: 'resets the connection', faults: {resets: true}, hasWritten: false},
	{name: 'never answers', faults: {isSilent: true}, hasWritten: false},
	{name: 'loses its answer', faults: {loseAnswers: 1}, hasWritten: true},
];

/** Writes one object to the store while it shows some faults; tells whether the store has it. */
const writeUnder = async (faults: (typeof failures)[number]['faults'], name: string) => {
	const outcomes: boolean[] = [];
	const own = StoreClient.create({
		url: platform.url,
		onCall() {},
		onOutcome(isAnswered) {
			outcomes.push(isAnswered);
		},
	});
	platform.setFaults(faults);
	const written = await own.create('faulty', {name, spec: 1}, signal);
	platform.setFaults({});
	const found = (await own.get('faulty', name, signal))._unsafeUnwrap();
	await own.close();
	return {written, calls: outcomes.length - 1, hasWritten: found !== undefined};
};

for (const [index, {name, faults, hasWritten}] of failures.entries()) {
	test(`a write to a store that ${name} fails as unavailable and is not repeated`, async () => {
		const seen = await writeUnder(faults, `o-${index}`);
		assert.equal(seen.written._unsafeUnwrapErr().kind, faultKinds.storeUnavailable);
		assert.equal(seen.calls, 1);
		assert.equal(seen.hasWritten, hasWritten);
	});
}

test('a record that was changed while its history was dropped is still found by its watch', async () => {
	const store = openStore({url: platform.url, onCall() {}, canReach: () => true});
	const version = (await store.put('record', {at: 1}, 0, signal))._unsafeUnwrap();
	await store.put('record', {at: 2}, version, signal);
	platform.objects.forgetHistory();
	const seen = (await store.watch('record', version - 1, signal))._unsafeUnwrap();
	assert.deepEqual(seen?.value, {at: 2});
	await store.close();
});
