import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import {Lifecycle} from '../src/root/lifecycle.js';

test('after a pause, work waits until the node has rejoined', async () => {
	const clock = ManualClock.at(0);
	const lifecycle = Lifecycle.create({clock, leaseMs: 2000});
	await lifecycle.waitUntilRejoined();
	await clock.advance(2500);
	let hasActed = false;
	const work = lifecycle.waitUntilRejoined().then(() => {
		hasActed = true;
	});
	lifecycle.recordHeartbeat();
	await new Promise(setImmediate);
	assert.ok(lifecycle.isLeaseExpired);
	assert.equal(hasActed, false);
	lifecycle.completeRejoin();
	await work;
	assert.equal(lifecycle.isLeaseExpired, false);
});
