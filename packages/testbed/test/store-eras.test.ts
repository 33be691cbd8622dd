import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSystemClock, faultKinds} from '@medlarsaddle/core';
import {openStore} from '@medlarsaddle/platform';
import {StoreFleet} from '../src/harness/store-fleet.js';
import {Platform} from '../src/platform/platform.js';

const hosts = 40;
const settleMs = 60_000;

/** Bound of the platform's pages for a version to be in force. */
const inForceMs = 2000;

/** Time after a restore in which members have to be found through the store again. */
const findableMs = 3000;

const {signal} = new AbortController();

const startFleet = async (dataCentres = 4) => {
	const fleet = StoreFleet.start({seed: 11, dataCentres, hosts});
	const startedMs = fleet.clock.monotonic();
	await fleet.clock.advance(settleMs);
	assert.ok(fleet.network.isConverged);
	return {
		fleet,
		/** Restores a copy from before the first host had entered its address. */
		restoreFirstCopy() {
			fleet.restore({ageMs: fleet.clock.monotonic() - startedMs, areWatchesCut: true});
		},
	};
};

// The readers wait for revisions after those of the lost changes, which the store gives out again.
test('watches that outlive a restore do not miss a configuration whose revision is given out again', async () => {
	const {fleet} = await startFleet();
	fleet.configure();
	fleet.configure();
	await fleet.clock.advance(inForceMs);
	assert.equal(fleet.shareInForce, 1);
	fleet.restore({ageMs: inForceMs + 1, areWatchesCut: false});
	fleet.writeConfiguration();
	fleet.configure();
	await fleet.clock.advance(inForceMs);
	assert.equal(fleet.shareInForce, 1);
});

// Keepers read the entries again after up to 25 s, and notice only then that theirs are gone.
test('a host that starts after a restore has lost the entries does not find nobody', async () => {
	const {fleet, restoreFirstCopy} = await startFleet(1);
	const rounds = 6;
	const met: number[] = [];
	for (let round = 0; round < rounds; round++) {
		restoreFirstCopy();
		await fleet.clock.advance(findableMs);
		const newcomer = fleet.add('dc1');
		await fleet.clock.advance(inForceMs);
		met.push(newcomer.gossip.table.alive.length);
		// The keepers read the entries each 15 to 25 s, so each round meets them in another phase.
		await fleet.clock.advance(settleMs / 4 + round * findableMs);
	}

	assert.deepEqual(
		met,
		Array.from({length: rounds}, (_, round) => hosts + 1 + round),
	);
});

test('a host that starts before the operator writes a lost version again does not stay at the one before', async () => {
	const {fleet, restoreFirstCopy} = await startFleet();
	fleet.configure();
	await fleet.clock.advance(inForceMs);
	restoreFirstCopy();
	const newcomer = fleet.add('dc1');
	await fleet.clock.advance(findableMs + inForceMs);
	assert.equal(newcomer.versions.get('routes'), 2);
	assert.equal(fleet.shareInForce, 1);
});

const openRecords = async () => {
	const platform = await Platform.start();
	const clock = createSystemClock();
	const store = openStore({url: platform.url, clock, onCall() {}, canReach: () => true});
	return {
		platform,
		store,
		async close() {
			await store.close();
			await platform.stop();
		},
	};
};

test('a write with the version of a record in an earlier era does not replace another content', async () => {
	const {platform, store, close} = await openRecords();
	platform.write('medlarsaddle-shared', 'record', 'before');
	const copied = platform.objects.storeRevision;
	platform.write('medlarsaddle-shared', 'record', 'lost');
	const {position} = (await store.get('shared', signal))._unsafeUnwrap();
	platform.objects.restore(copied);
	platform.write('medlarsaddle-shared', 'record', 'written by another node');
	await store.get('other', signal);
	const put = await store.put('shared', 'based on what was lost', position, signal);
	const found = (await store.get('shared', signal))._unsafeUnwrap();
	await close();
	assert.equal(found.value, 'written by another node');
	assert.equal(put._unsafeUnwrapErr().kind, faultKinds.conflict);
});

// The store has no such revision, so a watch that continues from it ends at once, again and again.
test('a watch of a record that went back in a restore does not end without the record', async () => {
	const {platform, store, close} = await openRecords();
	platform.write('medlarsaddle-shared', 'record', 'before');
	const copied = platform.objects.storeRevision;
	platform.write('medlarsaddle-shared', 'record', 'lost');
	const {position} = (await store.get('shared', signal))._unsafeUnwrap();
	platform.objects.restore(copied);
	const watched = (await store.watch('shared', position, signal))._unsafeUnwrap();
	await close();
	assert.equal(watched?.value, 'before');
});
