import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, createRandom} from '@medlarsaddle/core';
import {Admission} from '../src/index.js';

type Flow = {
	readonly rank: number;
	readonly deadlineMs: number;
	readonly perSecond: (nowMs: number) => number;
};

type LoadCase = {
	readonly name: string;
	readonly slots: number;
	readonly holdMs: (nowMs: number) => number;
	/** Largest deviation of a call's hold time, as a share of it; a fifth by default. */
	readonly holdSpread?: number;
	/** Calls that arrive later are not counted, in milliseconds; 15 s by default. */
	readonly countToMs?: number;
	readonly flows: readonly Flow[];
	/** Least share of each flow that must end in time, of the calls that arrive from 5 s on. */
	readonly minGoodShares: readonly number[];
};

const stepMs = 5;
const windowMs = 100;
const countFromMs = 5000;
const defaultCountToMs = 15_000;
const drainMs = 5000;

/**
 * Simulates one admission in front of an upstream that runs `slots` calls at once and queues the
 * rest. Returns the share of calls that end in time, by flow.
 */
const goodShares = async (loadCase: LoadCase, seed: number): Promise<number[]> => {
	const {slots, holdMs, flows, holdSpread = 0.2, countToMs = defaultCountToMs} = loadCase;
	const endMs = countToMs + drainMs;
	const random = createRandom(seed);
	const clock = ManualClock.at(0);
	const admission = Admission.create({clock, floors: [0, 0.05], slotsHint: slots, maxLimit: 100});
	const sent = flows.map(() => 0);
	const good = flows.map(() => 0);
	const queue: Array<(endMs: number) => void> = [];
	let busy: Array<{endMs: number; done: () => void}> = [];

	const send = async (flow: Flow, index: number) => {
		const startMs = clock.monotonic();
		const deadlineMs = startMs + flow.deadlineMs;
		const cohort = random.below(128);
		const permit = await admission.acquire({
			job: 'job',
			rank: flow.rank,
			cohort,
			depth: 0,
			deadlineMs,
			signal: new AbortController().signal,
		});
		const isCounted = startMs >= countFromMs && startMs < countToMs;
		sent[index]! += isCounted ? 1 : 0;
		if (permit.isErr()) {
			return;
		}

		const grantedMs = clock.monotonic();
		const runsUntilMs = await new Promise<number>(resolve => {
			queue.push(resolve);
		});
		await new Promise<void>(resolve => {
			busy.push({endMs: runsUntilMs, done: resolve});
		});
		const nowMs = clock.monotonic();
		admission.release('job', {ownMs: nowMs - grantedMs, heldMs: nowMs - grantedMs});
		good[index]! += isCounted && nowMs <= deadlineMs ? 1 : 0;
	};

	const nextMs = flows.map(() => 0);
	for (let nowMs = 0; nowMs < endMs; nowMs += stepMs) {
		for (const [index, flow] of flows.entries()) {
			while (nextMs[index]! <= nowMs) {
				void send(flow, index);
				nextMs[index]! += (-Math.log(1 - random.next()) * 1000) / flow.perSecond(nowMs);
			}
		}

		for (const call of busy.filter(({endMs}) => endMs <= nowMs)) {
			call.done();
		}

		busy = busy.filter(({endMs}) => endMs > nowMs);
		await new Promise(setImmediate);
		for (let free = slots - busy.length; free > 0 && queue.length > 0; free--) {
			queue.shift()!(nowMs + holdMs(nowMs) * (1 - holdSpread + 2 * holdSpread * random.next()));
		}

		await new Promise(setImmediate);
		if (nowMs % windowMs === 0) {
			admission.closeWindow();
		}

		await clock.advance(stepMs);
	}

	return sent.map((count, index) => good[index]! / count);
};

const constant = (perSecond: number) => () => perSecond;

const cases: readonly LoadCase[] = [
	{
		name: 'few slow slots, urgent calls at 72% of the capacity, as many less urgent calls',
		slots: 5,
		holdMs: constant(600),
		flows: [
			{rank: 0, deadlineMs: 3000, perSecond: constant(6)},
			{rank: 1, deadlineMs: 1500, perSecond: constant(6)},
		],
		minGoodShares: [0.99, 0],
	},
	{
		name: 'a third of the capacity for a minute, with widely varying hold times',
		slots: 5,
		holdMs: constant(240),
		holdSpread: 0.5,
		countToMs: 65_000,
		flows: [
			{rank: 0, deadlineMs: 3000, perSecond: constant(4)},
			{rank: 1, deadlineMs: 1500, perSecond: constant(3)},
		],
		minGoodShares: [1, 0.99],
	},
	{
		name: 'an upstream that becomes three times slower, urgent calls at 60% of the remaining capacity',
		slots: 4,
		holdMs: nowMs => (nowMs < countFromMs ? 120 : 360),
		flows: [
			{rank: 0, deadlineMs: 3000, perSecond: constant(6.7)},
			{rank: 1, deadlineMs: 1500, perSecond: constant(16)},
		],
		minGoodShares: [0.99, 0.1],
	},
	{
		name: 'an upstream that becomes three times slower while a burst of less urgent calls begins',
		slots: 4,
		holdMs: nowMs => (nowMs < countFromMs ? 120 : 360),
		flows: [
			{rank: 0, deadlineMs: 1500, perSecond: constant(5)},
			{rank: 1, deadlineMs: 1500, perSecond: nowMs => (nowMs < countFromMs ? 10 : 60)},
		],
		minGoodShares: [0.99, 0.05],
	},
	{
		name: 'many fast slots, less urgent calls at three times the capacity',
		slots: 20,
		holdMs: constant(50),
		flows: [
			{rank: 0, deadlineMs: 1000, perSecond: constant(100)},
			{rank: 1, deadlineMs: 1000, perSecond: nowMs => (nowMs < countFromMs ? 100 : 1100)},
		],
		minGoodShares: [0.99, 0.18],
	},
	{
		name: 'urgent calls alone at three times the capacity',
		slots: 8,
		holdMs: constant(100),
		flows: [
			{rank: 0, deadlineMs: 1000, perSecond: nowMs => (nowMs < countFromMs ? 40 : 240)},
			{rank: 1, deadlineMs: 1000, perSecond: constant(20)},
		],
		minGoodShares: [0.28, 0.1],
	},
];

for (const loadCase of cases) {
	test(`enough calls end in time under load: ${loadCase.name}`, async () => {
		const seeds = [1, 2, 3];
		const sharesBySeed = await Promise.all(seeds.map(async seed => goodShares(loadCase, seed)));
		for (const [index, minGoodShare] of loadCase.minGoodShares.entries()) {
			const mean = sharesBySeed.reduce((sum, byFlow) => sum + byFlow[index]!, 0) / seeds.length;
			assert.ok(
				mean >= minGoodShare,
				`flow ${index}: ${mean.toFixed(3)}, ${JSON.stringify(sharesBySeed)}`,
			);
		}
	});
}
