import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {type Clock, ManualClock, faultKinds} from '@medlarsaddle/core';
import {memberStates} from '@medlarsaddle/members';
import {
	Link,
	type Message,
	type MessageOf,
	callModes,
	messageTypes,
	runStates,
} from '@medlarsaddle/wire';
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

/** Opens a peer over loopback; `clock` is its clock. */
const openPeer = async (clock: Clock) => {
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
	await peer.opened;
	return {abort, ended, peer, server, socket};
};

// Silence counts from the first pending reply. Counted from the last message, a call on a
// connection that had been idle would close that connection at once.
test('a connection that was idle is not closed as silent when a call is sent on it', async () => {
	const clock = ManualClock.at(0);
	const {abort, ended, peer, server, socket} = await openPeer(clock);
	const link = Link.over(socket, clock);
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

// With hundreds of hosts a node has a link to most of them, and each uses it every few seconds. A timer
// of its own for each link would wake the node a thousand times a second.
test('a connection without pending replies sets no periodic timer', async () => {
	const manual = ManualClock.at(0);
	let timers = 0;
	const clock: Clock = {
		now: () => manual.now(),
		monotonic: () => manual.monotonic(),
		async sleep(ms, signal) {
			timers++;
			return manual.sleep(ms, signal);
		},
		after(ms, callback) {
			timers++;
			return manual.after(ms, callback);
		},
	};
	const {abort, ended, peer, server, socket} = await openPeer(clock);
	const before = timers;
	await manual.advance(50_000);
	assert.ok(peer.isOpen);
	assert.ok(timers - before <= 1, String(timers - before));
	await manual.advance(61_000);
	await ended;
	abort.abort();
	socket.destroy();
	server.close();
});

// A lossy link, a busy node or one that stands still is silent as well, and its upstream may be at work.
test('a call is ended because the link to its node is silent for a while', async () => {
	const clock = ManualClock.at(0);
	const {abort, ended, peer, server, socket} = await openPeer(clock);
	const link = Link.over(socket, clock);
	const messages = link.messages();
	let stalls = 0;
	let hasEnded = false;
	const outcome = peer.call(callModes.run, request, abort.signal, () => {
		stalls++;
	});
	void outcome.then(() => {
		hasEnded = true;
	});
	assert.equal(await typeOfNext(messages), messageTypes.hello);
	const {value: call} = (await messages.next()) as {value: MessageOf<'call'>};
	for (let elapsedMs = 0; elapsedMs < 2000; elapsedMs += 100) {
		await clock.advance(100);
	}

	assert.equal(hasEnded, false);
	assert.equal(stalls, 1);
	const answer = {kind: 'answer', status: 200, headers: [], body: new Uint8Array()} as const;
	const answered = {result: answer, cutoffs: [], load: 0, unspent: 0};
	link.send({type: messageTypes.outcome, id: call.id, outcome: answered});
	assert.equal((await outcome)?.result.kind, 'answer');
	abort.abort();
	await ended;
	socket.destroy();
	server.close();
});

// The check before an action is sent closed the connection, with the calls of others on it.
test('calls in flight are ended because their link did not answer before an action was sent', async () => {
	const clock = ManualClock.at(0);
	const {abort, ended, peer, server, socket} = await openPeer(clock);
	const link = Link.over(socket, clock);
	const messages = link.messages();
	let hasEnded = false;
	const outcome = peer.call(callModes.run, request, abort.signal);
	void outcome.then(() => {
		hasEnded = true;
	});
	assert.equal(await typeOfNext(messages), messageTypes.hello);
	assert.equal(await typeOfNext(messages), messageTypes.call);
	await clock.advance(200);
	const action = peer.call(callModes.run, {...request, idempotent: false}, abort.signal);
	assert.equal(await typeOfNext(messages), messageTypes.probe);
	await clock.advance(400);
	assert.equal(await action, undefined);
	await setImmediate();
	assert.equal(hasEnded, false);
	abort.abort();
	await ended;
	await outcome;
	socket.destroy();
	server.close();
});

test('a call whose caller left is reported as late', async () => {
	const clock = ManualClock.at(0);
	const {abort, ended, peer, server, socket} = await openPeer(clock);
	const caller = new AbortController();
	const outcome = peer.call(callModes.run, request, caller.signal);
	caller.abort();
	const result = (await outcome)?.result;
	assert.equal(result?.kind === 'refusal' && result.fault, faultKinds.cancelled);
	abort.abort();
	await ended;
	socket.destroy();
	server.close();
});

// The link is asked whether it works before an action is sent on it.
for (const [what, remainingMs, isGivenUp] of [
	['whose deadline passes', 200, false],
	['that is given up', 3000, true],
] as const) {
	test(`an action ${what} while its link is probed is sent`, async t => {
		const clock = ManualClock.at(0);
		const {abort, ended, peer, server, socket} = await openPeer(clock);
		t.after(async () => {
			abort.abort();
			await ended;
			socket.destroy();
			server.close();
		});
		const link = Link.over(socket, clock);
		const messages = link.messages();
		assert.equal(await typeOfNext(messages), messageTypes.hello);
		await clock.advance(10_000);
		const caller = new AbortController();
		const action = {...request, idempotent: false, remainingMs};
		const outcome = peer.call(callModes.run, action, caller.signal);
		const {value: probe} = (await messages.next()) as {value: MessageOf<'probe'>};
		await clock.advance(300);
		if (isGivenUp) {
			caller.abort(new Error('the caller left'));
		}

		link.send({type: messageTypes.probed, id: probe.id});
		const sent = typeOfNext(messages).then(() => undefined);
		const result = (await Promise.race([outcome, sent]))?.result;
		assert.ok(result?.kind === 'refusal', 'it was sent');
		assert.equal(result.run, runStates.notRun);
	});
}
