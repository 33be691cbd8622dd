import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import {Lifecycle} from '../src/root/lifecycle.js';

test('after a pause, work waits until the node has rejoined', async () => {
	const clock = ManualClock.at(0);
	const lifecycle = Lifecycle.create({clock, leaseMs: 2000});
	await lifecycle.mayAct();
	await clock.advance(2500);
	let hasActed = false;
	const work = lifecycle.mayAct().then(() => {
		hasActed = true;
	});
	lifecycle.beat();
	await new Promise(setImmediate);
	assert.ok(lifecycle.lapsed);
	assert.equal(hasActed, false);
	lifecycle.rejoined();
	await work;
	assert.equal(lifecycle.lapsed, false);
});
