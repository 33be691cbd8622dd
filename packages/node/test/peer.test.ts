import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import {memberStates} from '@medlarsaddle/members';
import {Link, type Message, callModes, messageTypes} from '@medlarsaddle/wire';
import {Peer} from '../src/peers/peer.js';

const request = {
	service: 'map',
	job: 'LOOK',
	method: 'GET',
	path: '/',
	headers: [],
	body: new Uint8Array(),
	rootId: 'r1',
	rank: 0,
	cohort: 0,
	remainingMs: 3000,
	allowance: 0,
	depth: 0,
	idempotent: true,
};

const typeOfNext = async (messages: AsyncGenerator<Message>): Promise<unknown> => {
	const {value} = (await messages.next()) as {value: Message};
	return value.type;
};

// Silence counts from the first pending reply. Counted from the last message, a call on a
// connection that had been idle would close that connection at once.
test('a connection that was idle is not closed as silent when a call is sent on it', async () => {
	const clock = ManualClock.at(0);
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const accepted = once(server, 'connection') as Promise<[net.Socket]>;
	const peer = Peer.create({
		clock,
		log() {},
		hello: {type: messageTypes.hello, node: 'a', dataCentre: 'dc1', incarnation: 1},
		member: {
			id: 'b',
			dataCentre: 'dc1',
			group: 'dc1',
			host: '127.0.0.1',
			peerPort: (server.address() as net.AddressInfo).port,
			httpPort: 0,
			incarnation: 1,
			version: 1,
			state: memberStates.alive,
			offers: [],
		},
	});
	const abort = new AbortController();
	const ended = peer.run(abort.signal, () => {});
	const [socket] = await accepted;
	const link = Link.over(socket, clock);
	await peer.opened;
	await clock.advance(10_000);
	const outcome = peer.call(callModes.run, request, abort.signal);
	const messages = link.messages();
	assert.equal(await typeOfNext(messages), messageTypes.hello);
	assert.equal(await typeOfNext(messages), messageTypes.call);
	await clock.advance(350);
	assert.ok(peer.isOpen, 'the connection is still open after 350 ms');
	abort.abort();
	await ended;
	assert.equal((await outcome)?.result.kind, 'refusal');
	socket.destroy();
	server.close();
});
