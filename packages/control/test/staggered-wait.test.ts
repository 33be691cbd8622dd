import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {staggeredWait} from '../src/index.js';

const spacingMs = 500;

test('all holders of a role act at the same time and then none for long', () => {
	const holders = fc.integer({min: 1, max: 20});
	const elapsed = fc.nat({max: 60_000});
	fc.assert(
		fc.property(holders, elapsed, (count, elapsedMs) => {
			const turns = Array.from({length: count}, (_, slot) =>
				staggeredWait({elapsedMs, slot, holders: count, spacingMs}),
			).toSorted((a, b) => a - b);
			assert.ok(turns[0]! > 0 && turns[0]! <= spacingMs * 1.1);
			for (const [index, turn] of turns.slice(1).entries()) {
				assert.ok(Math.abs(turn - turns[index]! - spacingMs) < 1e-6);
			}
		}),
		{seed: 1},
	);
});

test('a timer that fires slightly early makes a holder act twice in one turn', () => {
	const turn = {slot: 0, holders: 4, spacingMs};
	assert.equal(staggeredWait({...turn, elapsedMs: 499}), 2001);
	assert.equal(staggeredWait({...turn, elapsedMs: 501}), 1999);
});
