import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {OutcomeHistory, Tally, alerts, computeBurn, outcomeClasses} from '../src/index.js';

const seed = 17;
const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const startMs = 1_800_000_000_000;
const objective = () => ({goodShare: 0.99, withinMs: 100});

type CompletedRequest = Parameters<Tally['count']>[0];

const completedRequest = fc.record({
	service: fc.constantFrom('payment', 'reservation', 'pitch-map'),
	rank: fc.constantFrom('critical', 'background'),
	outcome: fc.constantFrom(...Object.values(outcomeClasses)),
	cause: fc.constantFrom('overloaded at pitch-map', 'status 500'),
	elapsedMs: fc.option(fc.integer({min: 1, max: 5000}), {nil: undefined}),
});

const historyOf = (requests: readonly CompletedRequest[], nowMs: number): OutcomeHistory => {
	const tally = Tally.create();
	for (const request of requests) {
		tally.count(request);
	}

	return tally.flush(nowMs);
};

const goodRequests = (count: number): CompletedRequest[] =>
	Array.from({length: count}, () => ({
		service: 'payment',
		rank: 'critical',
		outcome: outcomeClasses.good,
		cause: '',
		elapsedMs: 10,
	}));

const refusedRequests = (count: number, cause = 'overloaded at pitch-map'): CompletedRequest[] =>
	goodRequests(count).map(request => ({...request, outcome: outcomeClasses.refused, cause}));

test('merging histories of several nodes neither loses nor duplicates a request, in any order', () => {
	fc.assert(
		fc.property(
			fc.array(fc.array(completedRequest, {maxLength: 30}), {maxLength: 6}),
			fc.nat(),
			(nodes, pivot) => {
				const parts = nodes.map((requests, index) =>
					historyOf(requests, startMs + index * minuteMs),
				);
				const nowMs = startMs + nodes.length * minuteMs;
				const at = parts.length === 0 ? 0 : pivot % parts.length;
				const rotated = [...parts.slice(at), ...parts.slice(0, at)];
				const merge = (some: readonly OutcomeHistory[]) => {
					let sum = OutcomeHistory.empty;
					for (const part of some) {
						sum = sum.merge(part);
					}

					return sum;
				};

				const [one, other] = [merge(parts), merge(rotated)].map(history =>
					computeBurn([history], objective, nowMs)
						.map(({service, rank, counts, p50Ms}) => ({
							service,
							rank,
							counts: counts.values,
							p50Ms,
						}))
						.toSorted((a, b) => (a.service + a.rank < b.service + b.rank ? -1 : 1)),
				);
				assert.deepEqual(one, other);
				const total = one!.reduce((sum, {counts}) => sum + counts.reduce((a, b) => a + b, 0), 0);
				assert.equal(total, nodes.flat().length);
			},
		),
		{seed},
	);
});

test('a history stays bounded over a month and drops only buckets older than three days', () => {
	let history = OutcomeHistory.empty;
	for (let hour = 0; hour < 24 * 30; hour++) {
		const nowMs = startMs + hour * hourMs;
		history = history.merge(historyOf(goodRequests(2), nowMs)).trim(nowMs);
	}

	const nowMs = startMs + (24 * 30 - 1) * hourMs;
	const [row] = computeBurn([history], objective, nowMs);
	assert.ok(row!.counts.total >= 72 * 2 && row!.counts.total <= 74 * 2, `${row!.counts.total}`);
	assert.ok(JSON.stringify(history.rows).length < 4096, `${JSON.stringify(history.rows).length}`);
});

test('a burst of refusals raises a fast alert with its cause, and the short-term burn rate soon drops to 0', () => {
	const before = historyOf(goodRequests(10_000), startMs - 5 * hourMs);
	const burst = historyOf(
		[...goodRequests(100), ...refusedRequests(400), ...refusedRequests(10, 'status 500')],
		startMs,
	);
	const history = before.merge(burst);
	const [row] = computeBurn([history], objective, startMs + 1000);
	assert.equal(row!.alert, alerts.fast);
	assert.deepEqual(row!.causes[0], ['overloaded at pitch-map', 400]);
	assert.ok(row!.spentInMs !== undefined);
	const laterMs = startMs + 10 * minuteMs;
	const [later] = computeBurn(
		[history.merge(historyOf(goodRequests(500), laterMs))],
		objective,
		laterMs,
	);
	assert.equal(later!.rates[0], 0);
	assert.notEqual(later!.alert, alerts.none);
});

test('an overspent budget is negative, and a service without errors spends none', () => {
	const [spent] = computeBurn(
		[historyOf([...goodRequests(90), ...refusedRequests(10)], startMs)],
		objective,
		startMs,
	);
	assert.ok(spent!.budgetLeft < 0);
	assert.equal(spent!.spentInMs, 0);
	const [quiet] = computeBurn([historyOf(goodRequests(5), startMs)], objective, startMs);
	assert.equal(quiet!.spentInMs, undefined);
	assert.equal(quiet!.alert, alerts.none);
});

const malformed: ReadonlyArray<readonly [string, unknown]> = [
	['no rows', undefined],
	['text', 'rows'],
	['a row without buckets', [{service: 'a', rank: 'b'}]],
	[
		'buckets that are not arrays',
		[{service: 'a', rank: 'b', buckets: {minutes: 1, tens: [], hours: []}}],
	],
	[
		'causes that are not pairs',
		[
			{
				service: 'a',
				rank: 'b',
				buckets: {minutes: [], tens: [], hours: []},
				causes: [1],
				latencies: [],
			},
		],
	],
];

for (const [name, rows] of malformed) {
	test(`malformed stored rows are skipped: ${name}`, () => {
		const history = OutcomeHistory.of(rows).merge(historyOf(goodRequests(1), startMs));
		assert.equal(computeBurn([history], objective, startMs)[0]!.counts.total, 1);
	});
}

test('counts and latencies that are not numbers are ignored', () => {
	const row = {
		service: 'payment',
		rank: 'critical',
		buckets: {minutes: [], tens: [], hours: [[Math.floor(startMs / hourMs), 'x', Number.NaN, -1]]},
		causes: [],
		latencies: [[Math.floor(startMs / hourMs), 'not a histogram']],
	};
	const history = OutcomeHistory.of([row]).merge(historyOf(goodRequests(1), startMs));
	const [found] = computeBurn([history], objective, startMs);
	assert.equal(found!.counts.total, 1);
	assert.equal(found!.p50Ms, 10);
});
