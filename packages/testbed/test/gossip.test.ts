import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {GossipNetwork} from '../src/harness/gossip-network.js';

const seed = 23;

const grow = async (counts: Readonly<Record<string, number>>, seedOfRun = seed) => {
	const network = GossipNetwork.create({seed: seedOfRun});
	for (const [dataCentre, count] of Object.entries(counts)) {
		for (let index = 0; index < count; index++) {
			network.add(dataCentre);
		}
	}

	await network.clock.advance(8000);
	return network;
};

test('members of several data centres find their own from seeds in another', async () => {
	const network = await grow({dc1: 12, dc2: 12, dc3: 12});
	assert.ok(network.isConverged);
	for (const {gossip} of network.sites) {
		assert.equal(gossip.contacts.groups.length, 2);
	}
});

test('a newcomer learns of members that heard of it before it greeted them', async () => {
	const network = await grow({dc1: 12});
	const known = network.sites.map(({port}) => ({host: '10.0.0.1', port}));
	const newcomer = network.add('dc1', 'dc1-new', []);
	// All of them hear of the newcomer from one, and only then from itself.
	newcomer.gossip.join(known.slice(0, 1));
	await network.clock.advance(0);
	for (const {gossip} of network.sites.slice(0, 12)) {
		gossip.mergeMembers([newcomer.gossip.self]);
	}

	newcomer.gossip.join(known);
	await network.clock.advance(0);
	assert.equal(newcomer.gossip.table.alive.length, 13);
});

for (const [how, leaves] of [
	['ended without a word', false],
	['left', true],
] as const) {
	test(`a member that ${how} and starts again with nobody to ask is found by the others`, async () => {
		const network = await grow({dc1: 12});
		const [before] = network.sites.splice(5, 1);
		if (leaves) {
			before!.gossip.updateSelf({state: 'left'});
		}

		before!.stop();
		await network.clock.advance(leaves ? 1000 : 8000);
		const {id} = before!.gossip.self;
		network.add('dc1', id, [], before!.port);
		await network.clock.advance(4000);
		assert.ok(network.isConverged);
	});
}

test('a rack that fails at once is removed everywhere, and only it', async () => {
	const network = await grow({dc1: 40});
	for (const site of network.sites.slice(10, 20)) {
		network.kill(site);
	}

	await network.clock.advance(20_000);
	assert.equal(network.sites.length, 30);
	assert.ok(network.isConverged);
});

test('a lost third of the datagrams makes nobody dead', async () => {
	const network = await grow({dc1: 20});
	let count = 0;
	network.loses = () => count++ % 3 === 0;
	await network.clock.advance(60_000);
	network.loses = () => false;
	await network.clock.advance(5000);
	assert.ok(network.isConverged);
});

test('a partition inside a data centre heals', async () => {
	const network = await grow({dc1: 16});
	const isLeft = (port: number) => port <= 8;
	network.loses = (from, to) => isLeft(from) !== isLeft(to);
	await network.clock.advance(30_000);
	assert.ok(network.sites.every(({gossip}) => gossip.table.alive.length === 8));
	network.loses = () => false;
	await network.clock.advance(30_000);
	assert.ok(network.isConverged);
});

test('a paused member is given up, and comes back with a version that overrides it', async () => {
	const network = await grow({dc1: 10});
	const paused = network.sites[4]!;
	network.pause(paused, true);
	await network.clock.advance(15_000);
	const others = network.sites.filter(site => site !== paused);
	assert.ok(others.every(({gossip}) => gossip.table.alive.length === 9));
	network.pause(paused, false);
	paused.gossip.rejoin();
	await network.clock.advance(5000);
	assert.ok(network.isConverged);
});

test('of two processes with one ID the later stays and the earlier learns of it', async () => {
	const network = await grow({dc1: 6});
	const earlier = network.sites[3]!;
	network.add('dc1', earlier.gossip.self.id);
	await network.clock.advance(5000);
	assert.ok(earlier.replaced);
	const listed = network.sites[0]!.gossip.table.get(earlier.gossip.self.id);
	assert.ok(listed!.incarnation > earlier.gossip.self.incarnation);
});

test('a change reaches every member of every data centre within 4 s', async () => {
	const network = await grow({dc1: 30, dc2: 30, dc3: 30});
	network.put(network.sites[5]!, 'base', 1);
	await network.clock.advance(4000);
	assert.ok(network.sites.every(({versions}) => versions.get('base') === 1));
});

test('versions never fall and views converge after any cuts have healed', async () => {
	const cut = fc.record({from: fc.integer({min: 1, max: 12}), to: fc.integer({min: 1, max: 12})});
	const step = fc.record({
		cuts: fc.array(cut, {maxLength: 30}),
		at: fc.nat(11),
		version: fc.integer({min: 1, max: 9}),
		ms: fc.integer({min: 100, max: 6000}),
	});
	await fc.assert(
		fc.asyncProperty(fc.array(step, {maxLength: 6}), async steps => {
			const network = await grow({dc1: 6, dc2: 6});
			const highest = new Map<number, number>();
			for (const {cuts, at, version, ms} of steps) {
				network.loses = (from, to) => cuts.some(link => link.from === from && link.to === to);
				network.put(network.sites[at]!, 'base', version);
				await network.clock.advance(ms);
				for (const {port, versions} of network.sites) {
					const now = versions.get('base') ?? 0;
					assert.ok(now >= (highest.get(port) ?? 0));
					highest.set(port, now);
				}
			}

			network.loses = () => false;
			await network.clock.advance(20_000);
			const newest = Math.max(0, ...highest.values());
			assert.ok(network.isConverged);
			assert.ok(network.sites.every(({versions}) => (versions.get('base') ?? 0) === newest));
		}),
		{seed, numRuns: 15},
	);
});
