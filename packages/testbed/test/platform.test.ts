import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {Platform} from '../src/platform/platform.js';

let platform: Platform;

before(async () => {
	platform = await Platform.start();
});

after(async () => {
	await platform.stop();
});

/** Calls the store; resolves with the status, the era and the body of its response. */
const call = async (path: string, init?: RequestInit) => {
	const response = await fetch(`${platform.url}/-/objects/${path}`, init);
	const body = (await response.json()) as {storeRevision?: number; events?: unknown[]};
	return {status: response.status, era: response.headers.get('store-era'), body};
};

/** Waits until the store has received a watch. */
const waitUntilWatched = async (count: number) => {
	while (platform.counts.watch < count) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
};

test('every response names the era, also a refusal, a watch and a missing object', async () => {
	const responses = [
		await call('things'),
		await call('things/none'),
		await call('things?watch=1&waitMs=0'),
		await call('things?watch=1000&waitMs=0'),
	];
	platform.setFaults({isDown: true});
	responses.push(await call('things'));
	platform.setFaults({refusals: 1});
	responses.push(await call('things'));
	platform.setFaults({});
	assert.deepEqual(
		responses.map(({status, era}) => [status, era]),
		[200, 404, 200, 410, 503, 429].map(status => [status, '1']),
	);
});

test('a restore takes objects, revisions and history back, and the era rises', async () => {
	const kept = platform.write('restored', 'kept', 1);
	const removed = platform.write('restored', 'removed', 1);
	const copied = platform.objects.storeRevision;
	platform.write('restored', 'kept', 2);
	platform.write('restored', 'added', 2);
	platform.objects.remove('restored', removed);
	const {era, storeRevision} = platform.objects;
	platform.objects.restore(copied);
	assert.deepEqual(platform.objects.list('restored'), [kept, removed]);
	assert.equal((await call('restored')).era, String(era + 1));
	assert.equal((await call(`restored?watch=${storeRevision}&waitMs=0`)).status, 410);
	assert.equal(platform.write('restored', 'kept', 3).metadata.revision, copied + 1);
	assert.equal(platform.objects.changesAfter('restored', copied)!.length, 1);
});

test('a watch that outlives a restore answers to a higher revision only', async () => {
	const copied = platform.objects.storeRevision;
	platform.write('watched', 'x', 1);
	const {storeRevision, era} = platform.objects;
	const waiting = call(`watched?watch=${storeRevision}&waitMs=5000`);
	await waitUntilWatched(platform.counts.watch + 1);
	platform.objects.restore(copied);
	platform.write('watched', 'x', 2);
	platform.write('watched', 'x', 3);
	const response = await waiting;
	assert.equal(response.era, String(era + 1));
	assert.equal(response.body.events!.length, 1);
});

test('a restore may cut off the watches that wait', async () => {
	const waiting = call(`cut?watch=${platform.objects.storeRevision}&waitMs=5000`);
	await waitUntilWatched(platform.counts.watch + 1);
	platform.restore({ageMs: 0, areWatchesCut: true});
	await assert.rejects(waiting);
});
