import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {ManualClock} from '@medlarsaddle/core';
import {Link, type Message, messageTypes} from '../src/index.js';
import {frames} from '../src/frames.js';
import {messageCodec} from '../src/message-codec.js';

const socketWithout = () =>
	Object.assign(new EventEmitter(), {
		remoteAddress: '127.0.0.1',
		isPaused: () => false,
		pause() {},
		resume() {},
		setNoDelay() {},
	});

const largeMessage: Message = {
	type: messageTypes.call,
	id: 1,
	mode: 'run',
	request: {
		service: 'pay',
		job: 'PAY',
		method: 'PUT',
		path: '/',
		headers: [],
		body: new Uint8Array(1024 * 1024),
		rootId: 'a',
		rank: 0,
		cohort: 0,
		remainingMs: 400,
		allowance: 0,
		depth: 0,
		idempotent: false,
	},
};

// All bytes of a frame were copied for each piece of it, so a large one cost the square of its size.
test('a large frame is copied again for each of its pieces', async t => {
	const socket = socketWithout();
	const link = Link.over(socket as unknown as Socket, ManualClock.at(0));
	const probe: Message = {type: messageTypes.probe, id: 2};
	const bytes = Buffer.concat([
		frames.write(messageCodec.encode(probe)),
		frames.write(messageCodec.encode(largeMessage)),
		frames.write(messageCodec.encode(probe)),
	]);
	const {mock: joins} = t.mock.method(Buffer, 'concat');
	const received: string[] = [];
	const reading = (async () => {
		for await (const message of link.messages()) {
			received.push(message.type);
		}
	})();
	for (let start = 0; start < bytes.length; start += 1024) {
		socket.emit('data', Buffer.from(bytes.subarray(start, start + 1024)));
		await setImmediate();
	}

	socket.emit('end');
	await reading;
	assert.deepEqual(received, [messageTypes.probe, messageTypes.call, messageTypes.probe]);
	const joinedBytes = joins.calls.reduce((sum, {result}) => sum + result!.length, 0);
	assert.ok(joinedBytes <= 2 * bytes.length, `${joinedBytes} bytes copied for ${bytes.length}`);
});
