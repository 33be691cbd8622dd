import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {alignedDelayMs} from '../src/aligned-delay-ms.js';

test('an aligned delay ends on a multiple of the period, whenever it starts', () => {
	fc.assert(
		fc.property(
			fc.double({min: 0, max: 1e9, noNaN: true}),
			fc.integer({min: 1, max: 60_000}),
			(nowMs, periodMs) => {
				const delayMs = alignedDelayMs(nowMs, periodMs);
				const periods = (nowMs + delayMs) / periodMs;
				assert.ok(Math.abs(periods - Math.round(periods)) < 1e-3);
				assert.ok(delayMs > 0 && delayMs < periodMs * 1.11);
			},
		),
		{seed: 20_261_204},
	);
});

test('a timer that fires just before a boundary does not fire again at it', () => {
	assert.ok(alignedDelayMs(1999.5, 200) > 200);
});
