import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreFleet} from '../src/harness/store-fleet.js';

const reader = {name: 'configuration', count: 2, maxCount: 4};

/** Time in which a fleet that starts at once has to know its members and the configuration. */
const startMs = 12_000;

/** Bound of the platform's pages for a version to be in force. */
const inForceMs = 2000;

type Host = StoreFleet['network']['members'][number];

type Disturbance = {
	readonly hosts: number;
	readonly seed: number;
	/** Share of the hosts that nothing happens to; no reader is among them. */
	readonly sparedShare: number;
	readonly disturb: (fleet: StoreFleet, host: Host) => void;
	/** Time from the disturbance until the next version is written. */
	readonly sinceMs: number;
};

/** Disturbs most hosts, writes a version, and returns the hosts left alone that are late. */
const findLate = async ({hosts, seed, sparedShare, disturb, sinceMs}: Disturbance) => {
	const fleet = StoreFleet.start({seed, dataCentres: 4, hosts});
	await fleet.clock.advance(startMs);
	fleet.configure();
	await fleet.clock.advance(3000);
	const {members} = fleet.network;
	const others = members.filter(({gossip}) => !gossip.hasStoreRole(reader));
	const spared = new Set(others.slice(0, Math.max(2, Math.round(hosts * sparedShare))));
	for (const host of members.filter(member => !spared.has(member))) {
		disturb(fleet, host);
	}

	await fleet.clock.advance(sinceMs);
	fleet.configure();
	await fleet.clock.advance(inForceMs);
	const newest = Math.max(...members.map(({versions}) => versions.get('routes') ?? 0));
	assert.equal(newest, fleet.version, 'no host has the version');
	return [...spared]
		.filter(({versions}) => versions.get('routes') !== newest)
		.map(({gossip}) => gossip.self.id);
};

const silenceStore: Disturbance['disturb'] = (fleet, {gossip}) => {
	fleet.unanswered.add(gossip.self.id);
};

const freeze: Disturbance['disturb'] = (fleet, host) => {
	silenceStore(fleet, host);
	fleet.network.pause(host, true);
};

const table = [
	{what: 'stand still', disturb: freeze, sparedShare: 0.15},
	{what: 'have lost the store', disturb: silenceStore, sparedShare: 0.08},
];

for (const {what, disturb, sparedShare} of table) {
	for (const hosts of [13, 40, 80]) {
		test(`a version is late at undisturbed hosts because most of ${hosts} ${what}`, async () => {
			for (const seed of [0, 1, 2]) {
				for (const sinceMs of [0, 700, 3000]) {
					const late = await findLate({hosts, seed, sparedShare, disturb, sinceMs});
					assert.deepEqual(late, [], `seed ${seed}, ${sinceMs} ms after it`);
				}
			}
		});
	}
}
