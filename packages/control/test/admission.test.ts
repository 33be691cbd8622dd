import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, faultKinds} from '@medlarsaddle/core';
import fc from 'fast-check';
import {
	Admission,
	RetryAllowance,
	ConcurrencyLimit,
	CutoffController,
	RankQueue,
} from '../src/index.js';

const seed = 13;
const neverAborted = new AbortController().signal;

const create = (clock: ManualClock, floors = [0, 0]) =>
	Admission.create({clock, floors, slotsHint: 8, maxLimit: 2});

const call = (rank: number, deadlineMs = 10_000, signal = neverAborted) => ({
	job: 'job',
	rank,
	cohort: 0,
	depth: 0,
	deadlineMs,
	signal,
});

const sampleWithoutDownstream = (limit: ConcurrencyLimit, ownMs: number) => {
	limit.sample('job', {ownMs, heldMs: ownMs});
};

test('calls beyond the concurrency limit are queued and served by rank', async () => {
	const admission = create(ManualClock.at(0));
	await admission.acquire(call(0));
	await admission.acquire(call(0));
	const order: string[] = [];
	const enter = async (name: string, rank: number) => {
		await admission.acquire(call(rank));
		order.push(name);
	};

	const waiting = [enter('low', 1), enter('high', 0)];
	await new Promise(setImmediate);
	admission.release('job', {ownMs: 5, heldMs: 5});
	await new Promise(setImmediate);
	admission.release('job', {ownMs: 5, heldMs: 5});
	await Promise.all(waiting);
	assert.deepEqual(order, ['high', 'low']);
});

test('an expired call never starts, and a cancelled one leaves the queue', async () => {
	const clock = ManualClock.at(0);
	const admission = create(clock);
	await admission.acquire(call(0));
	await admission.acquire(call(0));
	const late = admission.acquire(call(0, 50));
	const abort = new AbortController();
	const cancelled = admission.acquire(call(0, 10_000, abort.signal));
	abort.abort();
	assert.equal((await cancelled)._unsafeUnwrapErr().kind, faultKinds.cancelled);
	await clock.advance(60);
	admission.release('job', {ownMs: 5, heldMs: 5});
	assert.equal((await late)._unsafeUnwrapErr().kind, faultKinds.overloaded);
	assert.equal(
		(await admission.acquire(call(0, 10)))._unsafeUnwrapErr().kind,
		faultKinds.deadlineExceeded,
	);
	assert.equal(admission.inFlight, 1);
});

test('a full queue evicts a less urgent call for a more urgent one', async () => {
	const admission = create(ManualClock.at(0));
	await admission.acquire(call(0));
	await admission.acquire(call(0));
	const low = Array.from({length: 16}, async () => admission.acquire(call(1)));
	void admission.acquire(call(0));
	assert.equal((await low[0]!)._unsafeUnwrapErr().kind, faultKinds.overloaded);
	assert.equal(admission.waiting, 16);
	assert.equal((await admission.acquire(call(1)))._unsafeUnwrapErr().kind, faultKinds.overloaded);
});

test('a downstream call is served before calls at the entry and evicts one from a full queue', async () => {
	const admission = create(ManualClock.at(0));
	await admission.acquire(call(0));
	await admission.acquire(call(0));
	const entryCalls = Array.from({length: 16}, async () => admission.acquire(call(0)));
	const started = admission.acquire({...call(0), depth: 3});
	assert.equal((await entryCalls[0]!)._unsafeUnwrapErr().kind, faultKinds.overloaded);
	admission.release('job', {ownMs: 5, heldMs: 5});
	assert.ok((await started).isOk());
});

test('the limit stays between 1 and the connection limit for any latencies', () => {
	const sample = fc.tuple(fc.double({min: 0, max: 1e6, noNaN: true}), fc.nat(200));
	fc.assert(
		fc.property(fc.array(sample), fc.integer({min: 1, max: 64}), (samples, maxLimit) => {
			const limit = ConcurrencyLimit.create({slotsHint: 1000, maxLimit});
			for (const [latencyMs, peak] of samples) {
				for (let count = 0; count < 5; count++) {
					sampleWithoutDownstream(limit, latencyMs);
				}

				limit.closeWindow(peak);
				assert.ok(limit.value >= 1 && limit.value <= maxLimit);
			}
		}),
		{seed},
	);
});

test('the limit grows from a low hint while latency is flat and shrinks when latency rises', () => {
	const limit = ConcurrencyLimit.create({slotsHint: 4, maxLimit: 100});
	const window = (slots: number) => {
		for (let count = 0; count < 10; count++) {
			sampleWithoutDownstream(limit, 10 * Math.max(1, limit.value / slots));
		}

		limit.closeWindow(limit.value);
	};

	for (let round = 0; round < 40; round++) {
		window(100);
	}

	const grown = limit.value;
	assert.ok(grown >= 20);
	for (let round = 0; round < 10; round++) {
		window(5);
	}

	assert.ok(limit.value < grown / 2);
});

const busyUpstreams = [
	{name: 'by its own work', slots: 4, minLimit: 4, ownMs: 60, downstreamMs: 0},
	// A probe halves the limit temporarily, but not below 4.
	{
		name: 'by downstream calls that occupy its slots',
		slots: 5,
		minLimit: 4,
		ownMs: 240,
		downstreamMs: 400,
	},
];

for (const {name, slots, minLimit, ownMs, downstreamMs} of busyUpstreams) {
	test(`the limit stays near the number of slots of an upstream kept busy ${name}`, () => {
		const limit = ConcurrencyLimit.create({slotsHint: slots, maxLimit: 200});
		const queue: number[] = [];
		let busy: Array<{startMs: number; endMs: number}> = [];
		const limits: number[] = [];
		let ended = 0;
		for (let nowMs = 0; nowMs < 120_000; nowMs++) {
			for (const {startMs} of busy.filter(({endMs}) => endMs <= nowMs)) {
				const heldMs = nowMs - startMs;
				limit.sample('job', {ownMs: heldMs - downstreamMs, heldMs});
				ended++;
			}

			busy = busy.filter(({endMs}) => endMs > nowMs);
			while (queue.length + busy.length < limit.value) {
				queue.push(nowMs);
			}

			while (busy.length < slots && queue.length > 0) {
				busy.push({startMs: queue.shift()!, endMs: nowMs + ownMs + downstreamMs});
			}

			if (nowMs % 100 === 99) {
				limit.closeWindow(limit.value);
				limits.push(limit.value);
			}
		}

		const settledLimits = limits.slice(100);
		assert.ok(Math.max(...settledLimits) <= slots * 4, `${Math.max(...settledLimits)} at the most`);
		assert.ok(Math.min(...settledLimits) >= minLimit, `${Math.min(...settledLimits)} at the least`);
		const possibleCalls = (slots * 120_000) / (ownMs + downstreamMs);
		assert.ok(ended >= possibleCalls * 0.97, `${ended} of ${possibleCalls}`);
	});
}

test('the limit stays near the number of slots of an upstream that becomes slower itself', () => {
	const limit = ConcurrencyLimit.create({slotsHint: 16, maxLimit: 100});
	const slots = 16;
	const run = (windows: number, serviceMs: number) => {
		for (let window = 0; window < windows; window++) {
			const latencyMs = serviceMs * Math.max(1, limit.value / slots);
			for (let count = 0; count < 10; count++) {
				sampleWithoutDownstream(limit, latencyMs);
			}

			limit.closeWindow(limit.value);
		}
	};

	run(50, 20);
	const before = limit.value;
	run(50, 100);
	assert.ok(before >= slots, `${before} before`);
	assert.ok(limit.value >= slots * 0.9, `${limit.value} when slower`);
	run(50, 20);
	assert.ok(limit.value <= slots * 2.5, `${limit.value} after`);
});

test('cutoffs shed the least urgent rank first, keep its floor and reopen after the overload', () => {
	const controller = CutoffController.create([0, 0.1]);
	for (let window = 0; window < 20; window++) {
		const passedCalls = (controller.cutoffs.at(1) / 128) * 900;
		controller.close({
			windows: 1,
			arrivals: [50, passedCalls],
			completions: 100,
			isStanding: true,
			shedRank: 0,
		});
	}

	assert.equal(controller.cutoffs.at(0), 128);
	const keptCalls = (controller.cutoffs.at(1) / 128) * 900;
	assert.ok(keptCalls >= 10 && keptCalls <= 55, `kept ${keptCalls}`);
	for (let window = 0; window < 40; window++) {
		controller.close({
			windows: 1,
			arrivals: [50, 50],
			completions: 100,
			isStanding: false,
			shedRank: Number.POSITIVE_INFINITY,
		});
	}

	assert.ok(controller.cutoffs.isOpen);
});

test('the queue serves a less urgent rank its floor share', () => {
	const queue = RankQueue.create([0, 0.2]);
	const waiter = (rank: number) => ({
		rank,
		isStarted: false,
		enqueuedMs: 0,
		expiresMs: 1e9,
		grant() {},
		refuse() {},
	});
	for (let count = 0; count < 100; count++) {
		for (const rank of [0, 1]) {
			queue.push(waiter(rank));
		}
	}

	const served = Array.from({length: 100}, () => queue.next(0)!.rank);
	assert.ok(served.filter(rank => rank === 1).length >= 19);
	assert.ok(served.filter(rank => rank === 0).length >= 79);
});

test('splitting and refunding a retry allowance conserves the total', () => {
	fc.assert(
		fc.property(
			fc.nat(20),
			fc.array(fc.constantFrom('split', 'spend', 'return')),
			(total, steps) => {
				const root = RetryAllowance.of(total);
				const shares: RetryAllowance[] = [];
				let spent = 0;
				for (const kind of steps) {
					if (kind === 'split') {
						shares.push(RetryAllowance.of((shares.at(-1) ?? root).split()));
					} else if (kind === 'spend') {
						spent += (shares.at(-1) ?? root).spend() ? 1 : 0;
					} else {
						const share = shares.pop();
						(shares.at(-1) ?? root).refund(share?.remaining ?? 0);
					}

					const held = [root, ...shares].reduce((sum, {remaining}) => sum + remaining, 0);
					assert.equal(held + spent, total);
				}
			},
		),
		{seed},
	);
});

test('a slot hint that is far too high does not raise the first limit of a new upstream', () => {
	const limit = ConcurrencyLimit.create({slotsHint: 500, maxLimit: 500});
	assert.ok(limit.value <= 16, `${limit.value}`);
});
