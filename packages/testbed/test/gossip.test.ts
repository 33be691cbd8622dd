import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {GossipNetwork} from '../src/harness/gossip-network.js';

const seed = 23;

const startNetwork = async (counts: Readonly<Record<string, number>>, networkSeed = seed) => {
	const network = GossipNetwork.create({seed: networkSeed});
	for (const [dataCentre, count] of Object.entries(counts)) {
		for (let index = 0; index < count; index++) {
			network.add(dataCentre);
		}
	}

	await network.clock.advance(8000);
	return network;
};

test('members find the others of their data centre from seeds in another data centre', async () => {
	const network = await startNetwork({dc1: 12, dc2: 12, dc3: 12});
	assert.ok(network.isConverged);
	for (const {gossip} of network.members) {
		assert.equal(gossip.contacts.groups.length, 2);
	}
});

test('a new member discovers members that knew it before it contacted them', async () => {
	const network = await startNetwork({dc1: 12});
	const contacts = network.members.map(({port}) => ({host: '10.0.0.1', port}));
	const newMember = network.add('dc1', 'dc1-new', []);
	// All members learn of the new one from its first contact, and only then from itself.
	newMember.gossip.join(contacts.slice(0, 1));
	await network.clock.advance(0);
	for (const {gossip} of network.members.slice(0, 12)) {
		gossip.mergeMembers([newMember.gossip.self]);
	}

	newMember.gossip.join(contacts);
	await network.clock.advance(0);
	assert.equal(newMember.gossip.table.alive.length, 13);
});

for (const [description, isPlannedLeave] of [
	['crashed', false],
	['left', true],
] as const) {
	test(`a member that ${description} and restarts without seeds is found by the others`, async () => {
		const network = await startNetwork({dc1: 12});
		const [stopped] = network.members.splice(5, 1);
		if (isPlannedLeave) {
			stopped!.gossip.updateSelf({state: 'left'});
		}

		stopped!.stop();
		await network.clock.advance(isPlannedLeave ? 1000 : 8000);
		const {id} = stopped!.gossip.self;
		network.add('dc1', id, [], stopped!.port);
		await network.clock.advance(4000);
		assert.ok(network.isConverged);
	});
}

test('only the members of a failed rack are removed, on every other member', async () => {
	const network = await startNetwork({dc1: 40});
	for (const site of network.members.slice(10, 20)) {
		network.kill(site);
	}

	await network.clock.advance(20_000);
	assert.equal(network.members.length, 30);
	assert.ok(network.isConverged);
});

test('no member is declared dead while a third of the datagrams is lost', async () => {
	const network = await startNetwork({dc1: 20});
	let count = 0;
	network.shouldDrop = () => count++ % 3 === 0;
	await network.clock.advance(60_000);
	network.shouldDrop = () => false;
	await network.clock.advance(5000);
	assert.ok(network.isConverged);
});

test('members of a data centre find each other again after a network partition', async () => {
	const network = await startNetwork({dc1: 16});
	const isInFirstHalf = (port: number) => port <= 8;
	network.shouldDrop = (from, to) => isInFirstHalf(from) !== isInFirstHalf(to);
	await network.clock.advance(30_000);
	assert.ok(network.members.every(({gossip}) => gossip.table.alive.length === 8));
	network.shouldDrop = () => false;
	await network.clock.advance(30_000);
	assert.ok(network.isConverged);
});

test('a paused member is removed and rejoins with a version that overrides its removal', async () => {
	const network = await startNetwork({dc1: 10});
	const paused = network.members[4]!;
	network.pause(paused, true);
	await network.clock.advance(15_000);
	const others = network.members.filter(site => site !== paused);
	assert.ok(others.every(({gossip}) => gossip.table.alive.length === 9));
	network.pause(paused, false);
	paused.gossip.rejoin();
	await network.clock.advance(5000);
	assert.ok(network.isConverged);
});

test('of two processes with one ID the later stays a member and the earlier is notified', async () => {
	const network = await startNetwork({dc1: 6});
	const earlier = network.members[3]!;
	network.add('dc1', earlier.gossip.self.id);
	await network.clock.advance(5000);
	assert.ok(earlier.hasIdConflict);
	const listed = network.members[0]!.gossip.table.get(earlier.gossip.self.id);
	assert.ok(listed!.incarnation > earlier.gossip.self.incarnation);
});

test('a configuration change reaches every member of every data centre within 4 s', async () => {
	const network = await startNetwork({dc1: 30, dc2: 30, dc3: 30});
	network.put(network.members[5]!, 'base', 1);
	await network.clock.advance(4000);
	assert.ok(network.members.every(({versions}) => versions.get('base') === 1));
});

test('versions never decrease and member tables converge after any failed links recover', async () => {
	const failedLink = fc.record({
		from: fc.integer({min: 1, max: 12}),
		to: fc.integer({min: 1, max: 12}),
	});
	const networkStep = fc.record({
		cuts: fc.array(failedLink, {maxLength: 30}),
		at: fc.nat(11),
		version: fc.integer({min: 1, max: 9}),
		ms: fc.integer({min: 100, max: 6000}),
	});
	await fc.assert(
		fc.asyncProperty(fc.array(networkStep, {maxLength: 6}), async steps => {
			const network = await startNetwork({dc1: 6, dc2: 6});
			const highest = new Map<number, number>();
			for (const {cuts, at, version, ms} of steps) {
				network.shouldDrop = (from, to) => cuts.some(link => link.from === from && link.to === to);
				network.put(network.members[at]!, 'base', version);
				await network.clock.advance(ms);
				for (const {port, versions} of network.members) {
					const current = versions.get('base') ?? 0;
					assert.ok(current >= (highest.get(port) ?? 0));
					highest.set(port, current);
				}
			}

			network.shouldDrop = () => false;
			await network.clock.advance(20_000);
			const newest = Math.max(0, ...highest.values());
			assert.ok(network.isConverged);
			assert.ok(network.members.every(({versions}) => (versions.get('base') ?? 0) === newest));
		}),
		{seed, numRuns: 15},
	);
});

test('a version is pushed to some members again while others have heard nothing', async () => {
	const network = await startNetwork({dc1: 13});
	const [reader, ...others] = network.members;
	const heard = new Set<number>();
	network.shouldDrop = (fromPort, toPort) => {
		if (fromPort === reader!.port) {
			heard.add(toPort);
		}

		return true;
	};

	network.put(reader!, 'routes', 2);
	await network.clock.advance(400);
	assert.ok(heard.size >= 9, `${heard.size} of ${others.length}`);
});
