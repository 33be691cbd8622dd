import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {History, Tally, alerts, burn, outcomeClasses} from '../src/index.js';

const seed = 17;
const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const startMs = 1_800_000_000_000;
const objective = () => ({goodShare: 0.99, withinMs: 100});

type Ended = Parameters<Tally['count']>[0];

const ended = fc.record({
	service: fc.constantFrom('payment', 'reservation', 'pitch-map'),
	rank: fc.constantFrom('critical', 'background'),
	outcome: fc.constantFrom(...Object.values(outcomeClasses)),
	cause: fc.constantFrom('overloaded at pitch-map', 'status 500'),
	elapsedMs: fc.option(fc.integer({min: 1, max: 5000}), {nil: undefined}),
});

const tallied = (requests: readonly Ended[], nowMs: number): History => {
	const tally = Tally.create();
	for (const request of requests) {
		tally.count(request);
	}

	return tally.take(nowMs);
};

const good = (count: number): Ended[] =>
	Array.from({length: count}, () => ({
		service: 'payment',
		rank: 'critical',
		outcome: outcomeClasses.good,
		cause: '',
		elapsedMs: 10,
	}));

const bad = (count: number, cause = 'overloaded at pitch-map'): Ended[] =>
	good(count).map(request => ({...request, outcome: outcomeClasses.refused, cause}));

test('no order of merging histories of several nodes loses or doubles a request', () => {
	fc.assert(
		fc.property(
			fc.array(fc.array(ended, {maxLength: 30}), {maxLength: 6}),
			fc.nat(),
			(nodes, pivot) => {
				const parts = nodes.map((requests, index) => tallied(requests, startMs + index * minuteMs));
				const nowMs = startMs + nodes.length * minuteMs;
				const at = parts.length === 0 ? 0 : pivot % parts.length;
				const turned = [...parts.slice(at), ...parts.slice(0, at)];
				const merge = (some: readonly History[]) => {
					let sum = History.empty;
					for (const part of some) {
						sum = sum.merge(part);
					}

					return sum;
				};

				const [one, other] = [merge(parts), merge(turned)].map(history =>
					burn([history], objective, nowMs)
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

test('a history stays bounded over a month, and what it forgets is older than three days', () => {
	let history = History.empty;
	for (let hour = 0; hour < 24 * 30; hour++) {
		const nowMs = startMs + hour * hourMs;
		history = history.merge(tallied(good(2), nowMs)).trim(nowMs);
	}

	const nowMs = startMs + (24 * 30 - 1) * hourMs;
	const [row] = burn([history], objective, nowMs);
	assert.ok(row!.counts.total >= 72 * 2 && row!.counts.total <= 74 * 2, `${row!.counts.total}`);
	assert.ok(JSON.stringify(history.rows).length < 4096, `${JSON.stringify(history.rows).length}`);
});

test('a burst of refusals is a fast alert that names its cause, and ends soon after', () => {
	const before = tallied(good(10_000), startMs - 5 * hourMs);
	const burst = tallied([...good(100), ...bad(400), ...bad(10, 'status 500')], startMs);
	const history = before.merge(burst);
	const [row] = burn([history], objective, startMs + 1000);
	assert.equal(row!.alert, alerts.fast);
	assert.deepEqual(row!.causes[0], ['overloaded at pitch-map', 400]);
	assert.ok(row!.spentInMs !== undefined);
	const laterMs = startMs + 10 * minuteMs;
	const [later] = burn([history.merge(tallied(good(500), laterMs))], objective, laterMs);
	assert.equal(later!.rates[0], 0);
	assert.notEqual(later!.alert, alerts.none);
});

test('an overspent budget is below zero, a quiet service burns nothing', () => {
	const [spent] = burn([tallied([...good(90), ...bad(10)], startMs)], objective, startMs);
	assert.ok(spent!.budgetLeft < 0);
	assert.equal(spent!.spentInMs, 0);
	const [quiet] = burn([tallied(good(5), startMs)], objective, startMs);
	assert.equal(quiet!.spentInMs, undefined);
	assert.equal(quiet!.alert, alerts.none);
});

const malformed: ReadonlyArray<readonly [string, unknown]> = [
	['no rows', undefined],
	['text', 'rows'],
	['a row without buckets', [{service: 'a', rank: 'b'}]],
	[
		'buckets that are no lists',
		[{service: 'a', rank: 'b', buckets: {minutes: 1, tens: [], hours: []}}],
	],
	[
		'causes that are no pairs',
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
	test(`stored rows that are malformed are left out: ${name}`, () => {
		const history = History.of(rows).merge(tallied(good(1), startMs));
		assert.equal(burn([history], objective, startMs)[0]!.counts.total, 1);
	});
}

test('counts and latencies that are no numbers count as nothing', () => {
	const row = {
		service: 'payment',
		rank: 'critical',
		buckets: {minutes: [], tens: [], hours: [[Math.floor(startMs / hourMs), 'x', Number.NaN, -1]]},
		causes: [],
		latencies: [[Math.floor(startMs / hourMs), 'not a histogram']],
	};
	const history = History.of([row]).merge(tallied(good(1), startMs));
	const [found] = burn([history], objective, startMs);
	assert.equal(found!.counts.total, 1);
	assert.equal(found!.p50Ms, 10);
});
