import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {untilBeat} from '../src/until-beat.js';

test('tasks of one period that start at any time wake at the same times', () => {
	fc.assert(
		fc.property(
			fc.double({min: 0, max: 1e9, noNaN: true}),
			fc.integer({min: 1, max: 60_000}),
			(nowMs, periodMs) => {
				const waitMs = untilBeat(nowMs, periodMs);
				const beats = (nowMs + waitMs) / periodMs;
				assert.ok(Math.abs(beats - Math.round(beats)) < 1e-3);
				assert.ok(waitMs > 0 && waitMs < periodMs * 1.11);
			},
		),
		{seed: 20_261_204},
	);
});

test('a timer that fires just before its beat does not wake a second time for it', () => {
	assert.ok(untilBeat(1999.5, 200) > 200);
});
