import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {Fault, createSystemClock, faultKinds} from '@medlarsaddle/core';
import {type Member, memberStates} from '@medlarsaddle/members';
import {Supervisor} from '@medlarsaddle/supervise';
import {Link, callModes, messageTypes, runStates} from '@medlarsaddle/wire';
import {Peers} from '../src/peers/peers.js';
import {refusalOf} from '../src/peers/refusal-of.js';

const clock = createSystemClock();
const log = () => {};

const memberAt = (peerPort: number): Member => ({
	id: 'b',
	dataCentre: 'dc1',
	group: 'dc1',
	host: '127.0.0.1',
	peerPort,
	httpPort: 0,
	incarnation: 1,
	version: 1,
	state: memberStates.alive,
	offers: [],
});

const call = {
	service: 'pay',
	job: 'PAY',
	method: 'POST',
	path: '/',
	headers: [],
	body: new Uint8Array(),
	rootId: 'r1',
	rank: 0,
	cohort: 0,
	remainingMs: 5000,
	allowance: 0,
	depth: 0,
	idempotent: false,
};
const callIds: number[] = [];

/** Replies to probes and synchronizations on its connections, but for those in `silent`. */
const startNode = async () => {
	const sockets = new Set<net.Socket>();
	const silent = new Set<net.Socket>();
	const links: Link[] = [];
	const server = net.createServer(async socket => {
		sockets.add(socket);
		const link = Link.over(socket, clock);
		links.push(link);
		for await (const message of link.messages()) {
			if (message.type === messageTypes.call) {
				callIds.push(message.id);
			}

			if (silent.has(socket)) {
				continue;
			}

			if (message.type === messageTypes.probe) {
				link.send({type: messageTypes.probed, id: message.id});
			} else if (message.type === messageTypes.sync) {
				link.send({type: messageTypes.synced, id: message.id, members: [], sections: []});
			}
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, sockets, silent, links, port: (server.address() as net.AddressInfo).port};
};

const startPeers = () => {
	const abort = new AbortController();
	const supervisor = Supervisor.create({name: 'peers', clock, log});
	const running = supervisor.run(abort.signal, () => {});
	const peers = Peers.create({
		clock,
		log,
		supervisor,
		self: () => ({...memberAt(0), id: 'a'}),
		canReach: () => true,
	});
	const stop = async () => {
		abort.abort();
		await running;
	};

	return {peers, stop};
};

const syncWith = async (peers: Peers, port: number) =>
	peers.request(memberAt(port), id => ({
		type: messageTypes.sync,
		id,
		versions: {},
		wantsMembers: false,
	}));

test('a section is not fetched from another node because the link to it has gone silent', async () => {
	const {server, sockets, silent, port} = await startNode();
	const {peers, stop} = startPeers();
	assert.equal((await syncWith(peers, port))?.type, messageTypes.synced);
	for (const socket of sockets) {
		silent.add(socket);
	}

	await clock.sleep(200);
	assert.equal((await syncWith(peers, port))?.type, messageTypes.synced);
	await stop();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});

test('a fetch from a node that stalls cuts off the calls in flight there', async () => {
	const {server, sockets, silent, links, port} = await startNode();
	const {peers, stop} = startPeers();
	assert.equal((await syncWith(peers, port))?.type, messageTypes.synced);
	const {signal} = new AbortController();
	const outcome = peers.call(memberAt(port), {mode: callModes.run, request: call, signal});
	for (const socket of sockets) {
		silent.add(socket);
	}

	await clock.sleep(200);
	assert.equal(await syncWith(peers, port), undefined);
	const reply = refusalOf(Fault.of(faultKinds.draining, 'leaving', 'wait'), runStates.notRun, 0);
	links[0]!.send({type: messageTypes.outcome, id: callIds[0]!, outcome: reply});
	const {result} = await outcome;
	assert.equal(result.kind === 'refusal' && result.fault, faultKinds.draining);
	await stop();
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});
