import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Event, ManualClock, events} from '@medlarsaddle/core';
import {createErrorGuard} from '../src/error-guard.js';

const createGuard = () => {
	const clock = ManualClock.at(0);
	const logged: Event[] = [];
	let hasGivenUp = false;
	const guard = createErrorGuard({
		clock,
		log(event) {
			logged.push(event);
		},
		giveUp() {
			hasGivenUp = true;
		},
	});
	return {clock, guard, logged, hasGivenUp: () => hasGivenUp};
};

// Without a handler, one error in a callback ends the process and all requests in flight.
test('single unexpected errors are logged and the node keeps running', async () => {
	const {clock, guard, logged, hasGivenUp} = createGuard();
	for (let count = 0; count < 50; count++) {
		guard(new Error('a callback failed'));
		await clock.advance(1000);
	}

	assert.equal(logged.length, 50);
	assert.ok(logged.every(event => event === events.unexpectedError));
	assert.equal(hasGivenUp(), false);
});

test('a node whose errors do not cease gives up', () => {
	const {guard, hasGivenUp} = createGuard();
	for (let count = 0; count < 50; count++) {
		guard('not even an error');
	}

	assert.ok(hasGivenUp());
});
