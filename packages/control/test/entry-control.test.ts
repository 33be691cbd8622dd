import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock, createRandom} from '@medlarsaddle/core';
import {
	RetryDetector,
	CallRates,
	CallOrigins,
	EndpointView,
	EntryAdmission,
	ServableShareTable,
	SlotLimit,
	WeightedRoundRobin,
	ServableShare,
	DataCentreReachability,
	chooseNear,
	retryAfter,
	sharesByRank,
} from '../src/index.js';

test('weighted round robin matches the weights exactly over a whole round', () => {
	fc.assert(
		fc.property(fc.array(fc.integer({min: 0, max: 20}), {minLength: 1, maxLength: 5}), weights => {
			const total = weights.reduce((sum, weight) => sum + weight, 0);
			const targets = weights.map((weight, index) => ({service: `s${index}`, weight}));
			const roundRobin = WeightedRoundRobin.create();
			const choices = new Map<string | undefined, number>();
			for (let choice = 0; choice < total; choice++) {
				const next = roundRobin.next(targets);
				choices.set(next, (choices.get(next) ?? 0) + 1);
			}

			for (const {service, weight} of targets) {
				assert.equal(choices.get(service) ?? 0, weight);
			}
		}),
	);
});

test('shares by rank stay within the budget and never favour a less urgent rank', () => {
	fc.assert(
		fc.property(
			fc.array(fc.double({min: 0.1, max: 100, noNaN: true}), {minLength: 1, maxLength: 5}),
			fc.double({min: 0.1, max: 1, noNaN: true}),
			(wanted, share) => {
				const budget = share * wanted.reduce((sum, work) => sum + work, 0);
				const shares = sharesByRank(wanted, budget);
				const admitted = wanted.reduce((sum, work, rank) => sum + work * shares[rank]!, 0);
				assert.ok(admitted <= budget * 1.0001 || shares[0]! <= 0.0501);
				for (let rank = 1; rank < shares.length; rank++) {
					assert.ok(shares[rank]! <= shares[rank - 1]! + 1e-9);
					assert.ok(shares[rank]! >= shares[rank - 1]! * 0.4999);
				}
			},
		),
	);
});

test('an overload of the least urgent rank does not cut the others while they fit', () => {
	assert.deepEqual(sharesByRank([10, 60, 30], 85), [1, 1, 0.5]);
});

test('the servable share of an overloaded upstream falls to its capacity and then recovers', () => {
	const share = ServableShare.create();
	// Twice the capacity is offered; the admitted work follows the share.
	for (let window = 0; window < 60; window++) {
		const wantedMs = 200 * share.value;
		share.noteArrived(wantedMs);
		share.closeWindow({waitingMs: 0, capacityMs: 100, waitMs: wantedMs > 95 ? 100 : 0});
	}

	assert.ok(Math.abs(share.value - 0.475) < 0.06, String(share.value));
	for (let window = 0; window < 60; window++) {
		share.noteArrived(40);
		share.closeWindow({waitingMs: 0, capacityMs: 100, waitMs: 0});
	}

	assert.equal(share.value, 1);
});

test('an entry sheds only jobs that use the overloaded service, the least urgent first', () => {
	const clock = ManualClock.at(0);
	const entry = EntryAdmission.create({clock, shareOf: service => (service === 'rules' ? 0.8 : 1)});
	const jobs = [
		{job: 'rules-of-day', rank: 0, footprint: new Map([['rules', 64]])},
		{job: 'pay', rank: 1, footprint: new Map([['payment', 110]])},
		{job: 'hold', rank: 2, footprint: new Map([['rules', 320]])},
	];
	const admitted = new Map<string, number>();
	const rounds = 200;
	for (let round = 0; round < rounds; round++) {
		for (const job of jobs) {
			const isAdmitted = entry.admit({...job, isRetry: false}).isAdmitted ? 1 : 0;
			admitted.set(job.job, (admitted.get(job.job) ?? 0) + isAdmitted);
		}
	}

	assert.equal(admitted.get('rules-of-day'), rounds);
	assert.equal(admitted.get('pay'), rounds);
	assert.ok(Math.abs(admitted.get('hold')! / rounds - 0.76) < 0.03, String(admitted.get('hold')));
});

test('calls are attributed to the jobs that make them, though they do not name their parent', async () => {
	const random = createRandom(3);
	const clock = ManualClock.at(0);
	const rates = CallRates.create(clock);
	const running: Array<{job: string; endMs: number; callsAt: number[]}> = [];
	for (let ms = 0; ms < 40_000; ms += 5) {
		for (const [job, perSecond, holdMs, calls] of [
			['pay', 12, 110, 0],
			['ledger', 76, 175, 4],
		] as const) {
			if (random.next() < (perSecond * 5) / 1000) {
				rates.noteStarted(job);
				const callsAt = Array.from({length: calls}, (_call, index) => ms + 15 + index * 40);
				running.push({job, endMs: ms + holdMs, callsAt});
			}
		}

		for (const call of running.filter(() => true)) {
			if (call.callsAt[0] !== undefined && call.callsAt[0] <= ms) {
				call.callsAt.shift();
				rates.noteCalled('cache');
			}

			if (call.endMs <= ms) {
				rates.noteEnded(call.job);
				running.splice(running.indexOf(call), 1);
			}
		}

		if (ms % 100 === 0) {
			rates.closeWindow();
		}

		await clock.advance(5);
	}

	const ofLedger = rates.callsPerRequest('ledger').get('cache') ?? 0;
	const ofPay = rates.callsPerRequest('pay').get('cache') ?? 0;
	assert.ok(Math.abs(ofLedger - 4) < 0.4, `ledger makes ${ofLedger}`);
	assert.ok(ofPay < 0.5, `pay makes ${ofPay}`);
});

test('external requests are distinguished from internal calls by the hosts where they begin', () => {
	const hosts = new Map([
		['map', 4],
		['holds', 3],
		['payment', 3],
		['rules', 3],
	]);
	const origins = CallOrigins.create();
	assert.equal(origins.isCall('cache', hosts), undefined);
	for (let call = 0; call < 40; call++) {
		origins.record('cache', 'payment');
		origins.record('look', [...hosts.keys()][call % 4]!);
	}

	assert.equal(origins.isCall('cache', hosts), true);
	assert.equal(origins.isCall('look', hosts), false);
});

test('the newer report on a service wins, and an expired report is ignored', async () => {
	const clock = ManualClock.at(0);
	const table = ServableShareTable.create(clock);
	table.merge([['rules', 0.5, 300]]);
	table.merge([['rules', 0.9, 400]]);
	assert.equal(table.shareOf('rules'), 0.5);
	assert.deepEqual(table.recent(['rules', 'map']), [['rules', 0.5, 300]]);
	await clock.advance(2000);
	assert.equal(table.shareOf('rules'), 1);
});

type Choice = Partial<Parameters<typeof chooseNear>[0]> &
	Pick<Parameters<typeof chooseNear>[0], 'endpoints' | 'view'>;

/** Chooses an endpoint for a call of job `look` from `dc1` that has not been tried anywhere. */
const chooseFromDc1 = (choice: Choice) =>
	chooseNear({
		tried: new Set(),
		random: createRandom(1),
		job: 'look',
		goalMs: 1000,
		dataCentre: 'dc1',
		isUnreachable: () => false,
		...choice,
	});

test('a call stays in its data centre until the endpoints there are overloaded', () => {
	const clock = ManualClock.at(0);
	const view = EndpointView.create(clock);
	const endpoints = [
		{node: 'a', service: 'map', dataCentre: 'dc1', weight: 1},
		{node: 'b', service: 'map', dataCentre: 'dc2', weight: 1},
	];
	const choose = () => chooseFromDc1({endpoints, view})?.node;
	const report = {load: 0.5, limit: 10, job: 'look', heldMs: 100};
	view.noteReport('a', {...report, waitMs: 0});
	view.noteReport('b', {...report, waitMs: 0});
	assert.equal(choose(), 'a');
	view.noteReport('a', {...report, waitMs: 100});
	assert.equal(choose(), 'a');
	view.noteReport('a', {...report, waitMs: 200});
	assert.equal(choose(), 'b');
	view.avoid('b', 1000);
	assert.equal(choose(), 'a');
});

test('a slower local endpoint is preferred until it puts the goal at risk', () => {
	const view = EndpointView.create(ManualClock.at(0));
	const endpoints = [
		{node: 'slow', service: 'board', dataCentre: 'dc1', weight: 1},
		{node: 'fast', service: 'board', dataCentre: 'dc2', weight: 1},
	];
	const report = {load: 0.2, waitMs: 0, limit: 10, job: 'read'};
	view.noteReport('slow', {...report, heldMs: 110});
	view.noteReport('fast', {...report, heldMs: 45});
	const choose = (goalMs: number) => chooseFromDc1({endpoints, view, job: 'read', goalMs})?.node;
	assert.equal(choose(200), 'slow');
	assert.equal(choose(120), 'fast');
});

test('endpoints of an unreachable data centre are skipped until one replies or a timeout passes', async () => {
	const clock = ManualClock.at(0);
	const view = EndpointView.create(clock);
	const reachability = DataCentreReachability.create(clock);
	const endpoints = [
		{node: 'a', service: 'map', dataCentre: 'dc1', weight: 1},
		...['b', 'c', 'd'].map(node => ({node, service: 'map', dataCentre: 'dc2', weight: 1})),
	];
	const choose = (tried: readonly string[] = []) =>
		chooseFromDc1({
			endpoints,
			view,
			tried: new Set(tried),
			isUnreachable: name => reachability.isUnreachable(name),
		})?.dataCentre;
	view.noteReport('a', {load: 2, waitMs: 900, limit: 10, job: 'look', heldMs: 100});
	assert.equal(choose(), 'dc2');
	reachability.noteLost('dc2', 'b');
	reachability.noteLost('dc2', 'b');
	assert.equal(choose(), 'dc2');
	reachability.noteLost('dc2', 'c');
	assert.equal(choose(), 'dc1');
	// An endpoint that was already tried is worse than one that may be unreachable.
	assert.equal(choose(['a']), 'dc2');
	reachability.noteReply('dc2');
	assert.equal(choose(), 'dc2');
	reachability.noteLost('dc2', 'b');
	reachability.noteLost('dc2', 'c');
	view.noteReport('a', {load: 2, waitMs: 900, limit: 10, job: 'look', heldMs: 100});
	assert.equal(choose(), 'dc1');
	await clock.advance(1001);
	assert.equal(reachability.isUnreachable('dc2'), false);
});

test('an endpoint whose node is suspected is skipped while others remain', () => {
	const view = EndpointView.create(ManualClock.at(0));
	const suspect = {node: 'a', service: 'map', dataCentre: 'dc1', weight: 1, isSuspect: true};
	const other = {node: 'b', service: 'map', dataCentre: 'dc2', weight: 1, isSuspect: false};
	const choose = (endpoints: ReadonlyArray<typeof other>) => chooseFromDc1({endpoints, view})?.node;
	assert.equal(choose([suspect, other]), 'b');
	assert.equal(choose([suspect]), 'a');
});

test('an endpoint that is silent while calls wait for it is avoided until its next report', async () => {
	const clock = ManualClock.at(0);
	const view = EndpointView.create(clock);
	const report = {load: 0.1, waitMs: 0, limit: 10, job: 'look', heldMs: 100};
	view.noteSent('a');
	view.noteReport('a', report);
	await clock.advance(400);
	assert.equal(view.isAvoided('a'), false);
	await clock.advance(200);
	assert.equal(view.isAvoided('a'), true);
	view.noteReport('a', report);
	assert.equal(view.isAvoided('a'), false);
	view.noteEnded('a');
	await clock.advance(5000);
	assert.equal(view.isAvoided('a'), false);
});

test('the limit for a known number of slots leaves some of them free', () => {
	assert.equal(SlotLimit.create(24).value, 22);
	assert.equal(SlotLimit.create(1).value, 1);
});

test('retries after a refusal are admitted before first attempts', () => {
	const clock = ManualClock.at(0);
	const entry = EntryAdmission.create({clock, shareOf: () => 0.6});
	const footprint = new Map([['rules', 160]]);
	const admitted = {first: 0, returning: 0};
	const rounds = 400;
	for (let round = 0; round < rounds; round++) {
		const isRetry = round % 4 === 0;
		if (entry.admit({job: 'look', rank: 1, footprint, isRetry}).isAdmitted) {
			admitted[isRetry ? 'returning' : 'first']++;
		}
	}

	assert.equal(admitted.returning, rounds / 4);
	const total = admitted.first + admitted.returning;
	assert.ok(Math.abs(total / rounds - 0.6) < 0.04, String(total));
});

test('a caller that has spent part of its time budget is detected as a retry', () => {
	const detector = RetryDetector.create();
	assert.equal(detector.isRetry('look', 5000), false);
	assert.equal(detector.isRetry('look', 4998), false);
	assert.equal(detector.isRetry('look', 4100), true);
	assert.equal(detector.isRetry('pay', 1200), false);
	assert.equal(detector.isRetry('pay', undefined), false);
});

const retryCases: ReadonlyArray<
	readonly [name: string, goalMs: number, budgetMs: number, from: number, to: number]
> = [
	['in time for its goal', 1500, 5000, 700, 1100],
	['within a third of its remaining time', 3000, 3000, 600, 1000],
	['soon when the goal can no longer be met', 200, 1200, 100, 200],
];

for (const [name, goalMs, budgetMs, from, to] of retryCases) {
	test(`a refused caller retries ${name}, with jitter`, () => {
		const random = createRandom(5);
		const times = Array.from({length: 50}, () =>
			retryAfter({goalMs, timeoutMs: 1000, budgetMs, random}),
		);
		assert.ok(Math.min(...times) >= from && Math.max(...times) <= to, times.join(' '));
		assert.ok(new Set(times).size > 40);
	});
}
