import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Datagram, type Gossip} from '@medlarsaddle/members';
import fc from 'fast-check';
import {GossipNetwork} from '../src/harness/gossip-network.js';

const from = {host: '10.0.0.9', port: 9};

const datagramOf = (gossip: Gossip, rumors: readonly unknown[]): Datagram =>
	({
		type: 'rumors',
		seq: 1,
		from: 'x',
		group: gossip.self.group,
		digests: [0, 0],
		rumors,
	}) as unknown as Datagram;

/** What the index of endpoints reads of each live member. */
const offeredBy = (gossip: Gossip): readonly string[] =>
	gossip.table.alive.flatMap(({offers}) => offers.map(({service}) => service));

// A record without a list of offers was kept and spread, and each later look for an endpoint failed
// at every node that had received it.
test('a member record that lacks a field is neither kept nor spread', async () => {
	const network = GossipNetwork.create({seed: 1});
	const nodes = [network.add('dc1'), network.add('dc1'), network.add('dc1')];
	network.introduceAll();
	await network.clock.advance(2000);
	const [{gossip}] = nodes as [(typeof nodes)[0], ...typeof nodes];
	const {offers, ...incomplete} = {...gossip.self, id: 'malformed', version: 9};
	gossip.receive(datagramOf(gossip, [{kind: 'member', member: incomplete}]), from);
	gossip.mergeMembers([incomplete, undefined, 7]);
	await network.clock.advance(2000);
	for (const node of nodes) {
		assert.equal(offeredBy(node.gossip).length, 3);
	}

	assert.equal(offers.length, 1);
});

test('no rumor, whatever it holds, makes a node fail', () => {
	const network = GossipNetwork.create({seed: 2});
	const {gossip} = network.add('dc1');
	const valid = {...gossip.self, id: 'other'};
	const field = fc.constantFrom(...Object.keys(valid));
	const junk = fc.oneof(
		fc.anything(),
		fc.constantFrom(null, undefined, '', -1, Number.NaN, [null]),
	);
	const rumor = fc.oneof(
		fc.record({kind: fc.constant('member'), member: junk}),
		fc
			.tuple(field, junk)
			.map(([name, value]) => ({kind: 'member', member: {...valid, [name]: value}})),
		fc
			.tuple(field, junk)
			.map(([name, value]) => ({kind: 'contact', member: {...valid, [name]: value}})),
		fc.record({kind: fc.constant('section'), name: junk, version: junk}),
		fc.record({kind: fc.constant('suspect'), id: junk, body: junk}),
		junk,
	);
	fc.assert(
		fc.property(fc.array(rumor, {maxLength: 4}), rumors => {
			gossip.receive(datagramOf(gossip, rumors), from);
			gossip.mergeMembers(rumors);
			assert.ok(offeredBy(gossip).every(service => typeof service === 'string'));
		}),
		{seed: 3, numRuns: 500},
	);
});
