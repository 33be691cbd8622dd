import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {latestStart} from '../src/latest-start.js';

const defaults = {nowMs: 1000, deadlineMs: 3000, holdMs: 100, meanHoldMs: 100, isRamping: false};

test('a call waits for at most four times the mean hold time', () => {
	assert.equal(latestStart(defaults), 1400);
});

test('a call is not started when it could no longer end by its deadline', () => {
	assert.equal(latestStart({...defaults, deadlineMs: 1300}), 1200);
});

test('a call of a slow job may wait for half of the time to its deadline', () => {
	assert.equal(latestStart({...defaults, deadlineMs: 1200, holdMs: 500}), 1100);
});

test('calls may wait longer while the limit of a new upstream is ramping up', () => {
	assert.equal(latestStart({...defaults, meanHoldMs: 10, isRamping: true}), 2000);
	assert.equal(latestStart({...defaults, meanHoldMs: 10}), 1200);
});

test('no call waits beyond its deadline', () => {
	const ms = fc.nat(100_000);
	const call = fc.record({
		nowMs: ms,
		leftMs: ms,
		holdMs: ms,
		meanHoldMs: ms,
		isRamping: fc.boolean(),
	});
	fc.assert(
		fc.property(call, ({leftMs, ...rest}) => {
			const deadlineMs = rest.nowMs + leftMs;
			const startMs = latestStart({...rest, deadlineMs});
			assert.ok(startMs >= rest.nowMs && startMs <= deadlineMs);
		}),
		{seed: 20_261_204},
	);
});
