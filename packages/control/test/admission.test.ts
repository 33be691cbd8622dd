import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, faultKinds} from '@medlarsaddle/core';
import fc from 'fast-check';
import {Admission, Allowance, ConcurrencyLimit, CutoffControl, RankQueue} from '../src/index.js';

const seed = 13;
const never = new AbortController().signal;

const create = (clock: ManualClock, floors = [0, 0]) =>
	Admission.create({clock, floors, slotsHint: 8, maxLimit: 2});

const call = (rank: number, deadlineMs = 10_000, signal = never) => ({
	job: 'job',
	rank,
	cohort: 0,
	depth: 0,
	deadlineMs,
	signal,
});

const sampleOwn = (limit: ConcurrencyLimit, ownMs: number) => {
	limit.sample('job', {ownMs, heldMs: ownMs});
};

test('calls beyond the limit wait and go by rank', async () => {
	const admission = create(ManualClock.at(0));
	await admission.enter(call(0));
	await admission.enter(call(0));
	const order: string[] = [];
	const enter = async (name: string, rank: number) => {
		await admission.enter(call(rank));
		order.push(name);
	};

	const waiting = [enter('low', 1), enter('high', 0)];
	await new Promise(setImmediate);
	admission.leave('job', {ownMs: 5, heldMs: 5});
	await new Promise(setImmediate);
	admission.leave('job', {ownMs: 5, heldMs: 5});
	await Promise.all(waiting);
	assert.deepEqual(order, ['high', 'low']);
});

test('an expired call never starts, and a cancelled one leaves the queue', async () => {
	const clock = ManualClock.at(0);
	const admission = create(clock);
	await admission.enter(call(0));
	await admission.enter(call(0));
	const late = admission.enter(call(0, 50));
	const abort = new AbortController();
	const cancelled = admission.enter(call(0, 10_000, abort.signal));
	abort.abort();
	assert.equal((await cancelled)._unsafeUnwrapErr().kind, faultKinds.cancelled);
	await clock.advance(60);
	admission.leave('job', {ownMs: 5, heldMs: 5});
	assert.equal((await late)._unsafeUnwrapErr().kind, faultKinds.overloaded);
	assert.equal(
		(await admission.enter(call(0, 10)))._unsafeUnwrapErr().kind,
		faultKinds.deadlineExceeded,
	);
	assert.equal(admission.inFlight, 1);
});

test('a full queue makes room for more urgent calls', async () => {
	const admission = create(ManualClock.at(0));
	await admission.enter(call(0));
	await admission.enter(call(0));
	const low = Array.from({length: 16}, async () => admission.enter(call(1)));
	void admission.enter(call(0));
	assert.equal((await low[0]!)._unsafeUnwrapErr().kind, faultKinds.overloaded);
	assert.equal(admission.waiting, 16);
	assert.equal((await admission.enter(call(1)))._unsafeUnwrapErr().kind, faultKinds.overloaded);
});

test('a call of a started request goes before one at the entry, and takes its place', async () => {
	const admission = create(ManualClock.at(0));
	await admission.enter(call(0));
	await admission.enter(call(0));
	const entering = Array.from({length: 16}, async () => admission.enter(call(0)));
	const started = admission.enter({...call(0), depth: 3});
	assert.equal((await entering[0]!)._unsafeUnwrapErr().kind, faultKinds.overloaded);
	admission.leave('job', {ownMs: 5, heldMs: 5});
	assert.ok((await started).isOk());
});

test('the limit stays between 1 and the connection limit, whatever the latencies', () => {
	const sample = fc.tuple(fc.double({min: 0, max: 1e6, noNaN: true}), fc.nat(200));
	fc.assert(
		fc.property(fc.array(sample), fc.integer({min: 1, max: 64}), (samples, maxLimit) => {
			const limit = ConcurrencyLimit.create({slotsHint: 1000, maxLimit});
			for (const [latencyMs, peak] of samples) {
				for (let count = 0; count < 5; count++) {
					sampleOwn(limit, latencyMs);
				}

				limit.closeWindow(peak);
				assert.ok(limit.value >= 1 && limit.value <= maxLimit);
			}
		}),
		{seed},
	);
});

test('the limit grows from a wrong hint while latency is flat, and shrinks when it rises', () => {
	const limit = ConcurrencyLimit.create({slotsHint: 4, maxLimit: 100});
	const window = (slots: number) => {
		for (let count = 0; count < 10; count++) {
			sampleOwn(limit, 10 * Math.max(1, limit.value / slots));
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
	{name: 'of its own work', slots: 4, least: 4, ownMs: 60, belowMs: 0},
	// A probe halves the limit for a moment, though not below 4.
	{name: 'of calls downstream that hold its slots', slots: 5, least: 4, ownMs: 240, belowMs: 400},
];

for (const {name, slots, least, ownMs, belowMs} of busyUpstreams) {
	test(`the limit stays near the slots of an upstream that is always busy ${name}`, () => {
		const limit = ConcurrencyLimit.create({slotsHint: slots, maxLimit: 200});
		const line: number[] = [];
		let busy: Array<{startMs: number; endMs: number}> = [];
		const highest: number[] = [];
		let ended = 0;
		for (let nowMs = 0; nowMs < 120_000; nowMs++) {
			for (const {startMs} of busy.filter(({endMs}) => endMs <= nowMs)) {
				const heldMs = nowMs - startMs;
				limit.sample('job', {ownMs: heldMs - belowMs, heldMs});
				ended++;
			}

			busy = busy.filter(({endMs}) => endMs > nowMs);
			while (line.length + busy.length < limit.value) {
				line.push(nowMs);
			}

			while (busy.length < slots && line.length > 0) {
				busy.push({startMs: line.shift()!, endMs: nowMs + ownMs + belowMs});
			}

			if (nowMs % 100 === 99) {
				limit.closeWindow(limit.value);
				highest.push(limit.value);
			}
		}

		const settled = highest.slice(100);
		assert.ok(Math.max(...settled) <= slots * 4, `${Math.max(...settled)} at the most`);
		assert.ok(Math.min(...settled) >= least, `${Math.min(...settled)} at the least`);
		const possible = (slots * 120_000) / (ownMs + belowMs);
		assert.ok(ended >= possible * 0.97, `${ended} of ${possible}`);
	});
}

test('an upstream that has become slower itself keeps the concurrency it can use', () => {
	const limit = ConcurrencyLimit.create({slotsHint: 16, maxLimit: 100});
	const slots = 16;
	const run = (windows: number, serviceMs: number) => {
		for (let window = 0; window < windows; window++) {
			const latencyMs = serviceMs * Math.max(1, limit.value / slots);
			for (let count = 0; count < 10; count++) {
				sampleOwn(limit, latencyMs);
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

test('cutoffs shed the least urgent first, keep its floor and open again', () => {
	const control = CutoffControl.create([0, 0.1]);
	for (let window = 0; window < 20; window++) {
		const passed = (control.cutoffs.at(1) / 128) * 900;
		control.close({
			windows: 1,
			arrivals: [50, passed],
			completions: 100,
			isStanding: true,
			shedRank: 0,
		});
	}

	assert.equal(control.cutoffs.at(0), 128);
	const kept = (control.cutoffs.at(1) / 128) * 900;
	assert.ok(kept >= 10 && kept <= 55, `kept ${kept}`);
	for (let window = 0; window < 40; window++) {
		control.close({
			windows: 1,
			arrivals: [50, 50],
			completions: 100,
			isStanding: false,
			shedRank: Number.POSITIVE_INFINITY,
		});
	}

	assert.ok(control.cutoffs.isOpen);
});

test('the queue keeps the floor of a lower rank for any arrivals', () => {
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

test('splitting an allowance and giving back conserves the total', () => {
	fc.assert(
		fc.property(
			fc.nat(20),
			fc.array(fc.constantFrom('split', 'spend', 'return')),
			(total, steps) => {
				const root = Allowance.of(total);
				const shares: Allowance[] = [];
				let spent = 0;
				for (const kind of steps) {
					if (kind === 'split') {
						shares.push(Allowance.of((shares.at(-1) ?? root).split()));
					} else if (kind === 'spend') {
						spent += (shares.at(-1) ?? root).spend() ? 1 : 0;
					} else {
						const share = shares.pop();
						(shares.at(-1) ?? root).giveBack(share?.remaining ?? 0);
					}

					const held = [root, ...shares].reduce((sum, {remaining}) => sum + remaining, 0);
					assert.equal(held + spent, total);
				}
			},
		),
		{seed},
	);
});

test('a hint of far too many slots does not open a new upstream to a flood', () => {
	const limit = ConcurrencyLimit.create({slotsHint: 500, maxLimit: 500});
	assert.ok(limit.value <= 16, `${limit.value}`);
});
