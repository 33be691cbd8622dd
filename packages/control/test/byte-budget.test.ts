import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import fc from 'fast-check';
import {ByteBudget} from '../src/byte-budget.js';

const capacityBytes = 1000;

const createBudget = () => {
	const clock = ManualClock.at(0);
	return {clock, budget: ByteBudget.create({clock, capacityBytes})};
};

/** A holder whose bytes move by `bytesPerS`, and that closes its share when it is evicted. */
const openHolder = (budget: ByteBudget, clock: ManualClock, bytesPerS = 0) => {
	const holder = {isEvicted: false};
	const share = budget.open({
		movedBytes: () => (clock.monotonic() * bytesPerS) / 1000,
		evict() {
			holder.isEvicted = true;
			share.close();
		},
	});
	return Object.assign(holder, {share});
};

test('a body that has stopped keeps its room while another one waits', async () => {
	const {clock, budget} = createBudget();
	const stopped = openHolder(budget, clock);
	const moving = openHolder(budget, clock, 100);
	await Promise.all([stopped.share.reserve(500), moving.share.reserve(400)]);
	const waiting = openHolder(budget, clock).share.reserve(300);
	await clock.advance(2000);
	assert.equal(await waiting, true);
	assert.deepEqual([stopped.isEvicted, moving.isEvicted], [true, false]);
});

test('bodies that have stopped are given up though nobody waits for their room', async () => {
	const {clock, budget} = createBudget();
	const stopped = openHolder(budget, clock);
	await stopped.share.reserve(capacityBytes);
	await clock.advance(10_000);
	assert.equal(stopped.isEvicted, false);
});

test('bodies that wait for one another wait for ever', async () => {
	const {clock, budget} = createBudget();
	const holders = [openHolder(budget, clock), openHolder(budget, clock)];
	await Promise.all(holders.map(async ({share}) => share.reserve(500)));
	const more = holders.map(async ({share}) => share.reserve(200));
	await clock.advance(2000);
	const granted = (await Promise.all(more)).filter(Boolean);
	assert.equal(granted.length, 1);
});

test('a body that is larger than the budget is never read', async () => {
	const {budget, clock} = createBudget();
	const {share} = openHolder(budget, clock);
	assert.equal(await share.reserve(capacityBytes * 2), true);
	assert.equal(await share.reserve(1), true);
});

test('an answer that is being given is evicted', async () => {
	const {clock, budget} = createBudget();
	const settled = openHolder(budget, clock);
	await settled.share.reserve(capacityBytes);
	settled.share.settle();
	void openHolder(budget, clock).share.reserve(300);
	await clock.advance(5000);
	assert.equal(settled.isEvicted, false);
});

const step = fc.record({
	holder: fc.nat(4),
	action: fc.constantFrom('add', 'reserve', 'free', 'close', 'wait'),
	bytes: fc.integer({min: 1, max: 600}),
});

test('bytes stay counted after all holders have ended', async () => {
	await fc.assert(
		fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
			const {clock, budget} = createBudget();
			const holders = Array.from({length: 5}, () => openHolder(budget, clock));
			for (const {holder, action, bytes} of steps) {
				const {share} = holders[holder]!;
				switch (action) {
					case 'add': {
						share.add(bytes);
						break;
					}

					case 'reserve': {
						void share.reserve(bytes);
						break;
					}

					case 'free': {
						share.add(-Math.min(bytes, share.heldBytes));
						break;
					}

					case 'close': {
						share.close();
						break;
					}

					case 'wait': {
						await clock.advance(bytes);
						break;
					}
				}
			}

			await clock.advance(0);
			const counted = holders.reduce((sum, {share}) => sum + share.heldBytes, 0);
			assert.equal(budget.heldBytes, counted);
			for (const {share} of holders) {
				share.close();
			}

			await clock.advance(0);
			assert.equal(budget.heldBytes, 0);
			assert.equal(budget.waitingCount, 0);
		}),
		{seed: 36, numRuns: 300},
	);
});
