import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TurnBudget} from '../src/turn-budget.js';

test('work beyond that of one turn is done out of order, or never', async () => {
	const turns = TurnBudget.create(100);
	const done: number[] = [];
	const all = [60, 60, 90, 20, 300, 10].map(async (units, index) => {
		await turns.spend(units);
		done.push(index);
	});
	await Promise.resolve();
	assert.deepEqual(done, [0, 1]);
	await Promise.all(all);
	assert.deepEqual(done, [0, 1, 2, 3, 4, 5]);
});
