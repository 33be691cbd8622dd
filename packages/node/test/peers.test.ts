import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {createSystemClock} from '@medlarsaddle/core';
import {type Member, memberStates} from '@medlarsaddle/members';
import {Supervisor} from '@medlarsaddle/supervise';
import {Link, messageTypes} from '@medlarsaddle/wire';
import {Peers} from '../src/peers/peers.js';

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

/** Replies to probes and synchronizations on its connections, but for those in `silent`. */
const startNode = async () => {
	const sockets = new Set<net.Socket>();
	const silent = new Set<net.Socket>();
	const server = net.createServer(async socket => {
		sockets.add(socket);
		const link = Link.over(socket, clock);
		for await (const message of link.messages()) {
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
	return {server, sockets, silent, port: (server.address() as net.AddressInfo).port};
};

test('a section is not fetched from another node because the link to it has gone silent', async () => {
	const {server, sockets, silent, port} = await startNode();
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
	const sync = async () =>
		peers.request(memberAt(port), id => ({
			type: messageTypes.sync,
			id,
			versions: {},
			wantsMembers: false,
		}));
	assert.equal((await sync())?.type, messageTypes.synced);
	for (const socket of sockets) {
		silent.add(socket);
	}

	await clock.sleep(200);
	assert.equal((await sync())?.type, messageTypes.synced);
	abort.abort();
	await running;
	for (const socket of sockets) {
		socket.destroy();
	}

	server.close();
});
