import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {apportion} from '../src/index.js';

const seed = 3;
const tiny = 1e-6;
const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
const share = fc.double({min: 0, max: 1, noNaN: true});
const amount = fc.double({min: 0, max: 1000, noNaN: true});

test('grants respect the capacity, the demands and the floors', () => {
	fc.assert(
		fc.property(
			fc.array(fc.tuple(amount, share), {minLength: 1, maxLength: 8}),
			amount,
			(ranks, capacity) => {
				const demands = ranks.map(([demand]) => demand);
				const floors = ranks.map(([, floor]) => floor / ranks.length);
				const grants = apportion(demands, capacity, floors);
				assert.ok(sum(grants) <= capacity + tiny);
				for (const [rank, grant] of grants.entries()) {
					assert.ok(grant <= demands[rank]! + tiny);
					assert.ok(grant >= Math.min(demands[rank]!, floors[rank]! * capacity) - tiny);
				}

				// Capacity is left over only when every demand is met.
				assert.ok(sum(grants) >= Math.min(capacity, sum(demands)) - tiny);
			},
		),
		{seed, numRuns: 1000},
	);
});

test('a more urgent rank yields capacity only to the floors of other ranks', () => {
	assert.deepEqual(apportion([50, 100], 100, [0, 0.1]), [50, 50]);
	assert.deepEqual(apportion([500, 100], 100, [0, 0.1]), [90, 10]);
	assert.deepEqual(apportion([500, 4], 100, [0, 0.1]), [96, 4]);
});
