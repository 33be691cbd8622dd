import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, createRandom} from '@medlarsaddle/core';
import {type Datagram, Gossip, type Member, memberStates, rumorKinds} from '@medlarsaddle/members';

const member: Member = {
	id: 'a',
	dataCentre: 'dc1',
	group: 'r1',
	host: '10.0.0.1',
	peerPort: 1,
	httpPort: 1,
	incarnation: 100,
	version: 1,
	state: memberStates.alive,
	offers: [],
};

const start = (self: Member, keepsId: boolean) => {
	const sent: Datagram[] = [];
	const gossip = Gossip.create({
		clock: ManualClock.at(0),
		random: createRandom(1),
		log() {},
		self,
		seeds: [],
		send(_to, datagram) {
			sent.push(datagram);
		},
		sizeOf: () => 50,
		sectionsDigest: () => 0,
		onRumor: () => false,
		onDivergence() {},
		onMembersChanged() {},
		onIdConflict: () => keepsId,
	});
	const hear = (heard: Member, from = 'b') => {
		const rumors = [{kind: rumorKinds.member, member: heard}];
		gossip.receive(
			{type: 'news', seq: 1, from, group: 'r1', digests: [0, 0], rumors},
			{host: '10.0.0.2', port: 1},
		);
	};

	return {gossip, sent, hear};
};

test('a process whose clock went back outbids the record of the one before it', () => {
	const {gossip, hear} = start(member, true);
	hear({...member, incarnation: 900});
	assert.equal(gossip.self.incarnation, 901);
});

test('where an ID must not be shared, the earlier process does not outbid the later', () => {
	const {gossip, hear} = start(member, false);
	hear({...member, incarnation: 900});
	assert.equal(gossip.self.incarnation, 100);
});

test('a sender that shows an outdated record of itself is told of the later one', () => {
	const {sent, hear} = start({...member, id: 'c'}, true);
	hear({...member, id: 'b', incarnation: 500});
	hear({...member, id: 'b', incarnation: 20});
	const told = sent.at(-1)!.rumors[0];
	assert.ok(told?.kind === rumorKinds.member);
	assert.equal(told.member.incarnation, 500);
});
