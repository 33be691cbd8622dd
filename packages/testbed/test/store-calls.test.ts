import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreFleet} from '../src/harness/store-fleet.js';

const dataCentres = 5;
const reader = {name: 'configuration', count: 2, maxCount: 2};

/** Time in which a fleet that starts at once has to know its members and the configuration. */
const startMs = 10_000;
const quietMs = 20_000;

/** Bound of the platform's pages for a version to be in force. */
const inForceMs = 2000;

const startFleet = async (hosts: number) => {
	const fleet = StoreFleet.start({seed: 7, dataCentres, hosts});
	await fleet.clock.advance(startMs);
	return fleet;
};

test('calls to the store grow with data centres and changes, not with hosts', async t => {
	const prices = new Map<number, number>();
	for (const hosts of [15, 60, 200]) {
		const fleet = await startFleet(hosts);
		assert.ok(fleet.network.isConverged, `${hosts} hosts do not all know one another`);
		assert.equal(fleet.shareInForce, 1);
		const atStart = fleet.price;
		await fleet.clock.advance(quietMs);
		const quiet = fleet.price - atStart;
		prices.set(hosts, quiet);
		const byKind = JSON.stringify(Object.fromEntries(fleet.calls));
		t.diagnostic(
			`${hosts} hosts: ${atStart.toFixed(1)} at the start, ${quiet.toFixed(1)} in 20 s: ${byKind}`,
		);
		// A write by each keeper and a few early hosts, reads by the readers, and cheap reads by all.
		assert.ok(atStart <= dataCentres * 12 + hosts * 0.2, `${atStart} at the start of ${hosts}`);
	}

	assert.ok(prices.get(200)! <= prices.get(15)! * 1.3 + 1);
	assert.ok(prices.get(200)! <= dataCentres * 10);
});

test('a version is in force everywhere in time while the store turns most readers away', async () => {
	const fleet = await startFleet(60);
	const members = fleet.network.members.map(({gossip}) => gossip.self.id);
	for (const id of members.filter((_, index) => index % 3 > 0)) {
		fleet.turnedAway.add(id);
	}

	await fleet.clock.advance(6000);
	fleet.configure();
	await fleet.clock.advance(inForceMs);
	assert.equal(fleet.shareInForce, 1);
});

test('a reader whose watch has silently failed hears of a version from the others', async () => {
	const fleet = await startFleet(60);
	for (const [index, {gossip}] of fleet.network.members.entries()) {
		if (index % 2 === 0) {
			fleet.silent.add(gossip.self.id);
		}
	}

	fleet.configure();
	await fleet.clock.advance(inForceMs);
	assert.equal(fleet.shareInForce, 1);
});

test('a host that starts later learns the members and the configuration from them, with one cheap read', async () => {
	const fleet = await startFleet(60);
	const before = fleet.price;
	const newcomer = fleet.add('dc1');
	await fleet.clock.advance(1000);
	assert.equal(newcomer.versions.get('routes'), 1);
	assert.equal(newcomer.gossip.table.alive.length, 61);
	// Beside it, the readers and keepers make at most a call each in this time.
	assert.ok(fleet.price - before <= dataCentres * 2);
});

test('a store that is down for everyone is not called by each host in turn', async () => {
	const fleet = await startFleet(100);
	for (const {gossip} of fleet.network.members) {
		fleet.turnedAway.add(gossip.self.id);
	}

	const before = fleet.price;
	await fleet.clock.advance(10_000);
	assert.ok(fleet.price - before <= dataCentres * 40, `${fleet.price - before} calls`);
	fleet.turnedAway.clear();
	await fleet.clock.advance(4000);
	fleet.configure();
	await fleet.clock.advance(inForceMs);
	assert.equal(fleet.shareInForce, 1);
});

test('a version is late everywhere because the store has stopped answering most hosts', async () => {
	for (const seed of [0, 1, 2, 3, 4, 5]) {
		const fleet = StoreFleet.start({seed, dataCentres: 3, hosts: 13});
		await fleet.clock.advance(startMs);
		fleet.configure();
		await fleet.clock.advance(500);
		const members = fleet.network.members.map(({gossip}) => gossip);
		const others = members.filter(gossip => !gossip.hasStoreRole(reader));
		const spared = new Set(others.slice(seed, seed + 2));
		for (const {self} of members.filter(gossip => !spared.has(gossip))) {
			fleet.unanswered.add(self.id);
		}

		await fleet.clock.advance(600);
		fleet.configure();
		await fleet.clock.advance(inForceMs);
		assert.equal(fleet.shareInForce, 1, `seed ${seed}`);
	}
});

test('hosts that the store answers again are taken for cut off from it', async () => {
	const fleet = StoreFleet.start({seed: 1, dataCentres: 3, hosts: 13});
	await fleet.clock.advance(startMs);
	const members = fleet.network.members.map(({gossip}) => gossip);
	for (const {self} of members.slice(2)) {
		fleet.unanswered.add(self.id);
	}

	await fleet.clock.advance(7000);
	assert.ok(members.some(({self}) => self.hasLostStore));
	fleet.unanswered.clear();
	await fleet.clock.advance(8000);
	assert.ok(members.every(({self}) => !self.hasLostStore));
});

test('readers whose watches are cut off at once call the store without a pause', async () => {
	const fleet = await startFleet(60);
	for (const {gossip} of fleet.network.members) {
		fleet.cutOff.add(gossip.self.id);
	}

	const before = fleet.price;
	await fleet.clock.advance(10_000);
	// Two readers, each with a read and a watch a second, and the shorter pauses at first.
	assert.ok(fleet.price - before <= dataCentres * 60, `${fleet.price - before} calls`);
});

test('a version is late everywhere because all watches wait on silent connections', async () => {
	const fleet = await startFleet(60);
	for (const sinceChangeMs of [300, 900, 2100, 5300]) {
		fleet.configure();
		await fleet.clock.advance(sinceChangeMs);
		fleet.silenceWatches();
		fleet.configure();
		await fleet.clock.advance(inForceMs);
		assert.equal(fleet.shareInForce, 1, `silent ${sinceChangeMs} ms after a change`);
	}
});
