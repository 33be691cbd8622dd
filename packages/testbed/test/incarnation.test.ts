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

const createGossip = (self: Member, keepsNodeId: boolean) => {
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
		onIdConflict: () => keepsNodeId,
	});
	const receive = (record: Member, from = 'b') => {
		const rumors = [{kind: rumorKinds.member, member: record}];
		gossip.receive(
			{type: 'news', seq: 1, from, group: 'r1', digests: [0, 0], rumors},
			{host: '10.0.0.2', port: 1},
		);
	};

	return {gossip, sent, receive};
};

test('a process whose clock was set back takes a higher incarnation than its predecessor', () => {
	const {gossip, receive} = createGossip(member, true);
	receive({...member, incarnation: 900});
	assert.equal(gossip.self.incarnation, 901);
});

test('the earlier of two processes with one ID keeps its incarnation where IDs must not be shared', () => {
	const {gossip, receive} = createGossip(member, false);
	receive({...member, incarnation: 900});
	assert.equal(gossip.self.incarnation, 100);
});

test('a sender with an outdated record of itself is sent the newer record', () => {
	const {sent, receive} = createGossip({...member, id: 'c'}, true);
	receive({...member, id: 'b', incarnation: 500});
	receive({...member, id: 'b', incarnation: 20});
	const rumor = sent.at(-1)!.rumors[0];
	assert.ok(rumor?.kind === rumorKinds.member);
	assert.equal(rumor.member.incarnation, 500);
});
