import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import type {IncomingRequest} from '../src/calls/incoming-request.js';
import type {Cradle} from '../src/root/cradle.js';
import {coreOf} from '../src/root/core-of.js';
import {Lifecycle} from '../src/root/lifecycle.js';

// Its caller counts from when it was sent, not from when the node has rejoined.
test('a request that waits for a rejoin has all of its time afterwards', async () => {
	const clock = ManualClock.at(0);
	const lifecycle = Lifecycle.create({clock, leaseMs: 2000});
	const forwarded: IncomingRequest[] = [];
	const forwarder = {
		async forward(incoming: IncomingRequest) {
			forwarded.push(incoming);
		},
	};
	const core = coreOf({lifecycle, forwarder, gossip: {}} as unknown as Cradle);
	await clock.advance(2500);
	const incoming = {
		id: 'a1',
		host: 'shop.example',
		method: 'GET',
		target: '/',
		headers: [],
		body: new Uint8Array(),
		remainingMs: 1000,
	};
	const forwarding = core.forward(incoming, new AbortController().signal);
	await clock.advance(300);
	lifecycle.completeRejoin();
	await forwarding;
	assert.deepEqual(
		forwarded.map(({remainingMs}) => remainingMs),
		[700],
	);
});
