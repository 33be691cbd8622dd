import {addCauses} from './add-causes.js';
import {alertOf} from './alert-of.js';
import {burnRate} from './burn-rate.js';
import {OutcomeCounts} from './outcome-counts.js';
import type {OutcomeHistory} from './outcome-history.js';
import {LatencyHistogram} from './latency-histogram.js';
import {resolutions} from './resolutions.js';
import {outcomeClasses} from './outcome-classes.js';
import {burnWindows} from './burn-windows.js';

type Row = OutcomeHistory['rows'][number];

type Objective = {
	readonly goodShare: number;
	/** Latency objective; 0 if only the deadline counts. */
	readonly withinMs: number;
};

type Burn = {
	readonly service: string;
	readonly rank: string;
	/** Counts over the longest window. */
	readonly counts: OutcomeCounts;
	readonly objective: Objective;
	/** Burn rate over each of `burnWindows`. */
	readonly rates: readonly number[];
	readonly alert: ReturnType<typeof alertOf>;
	/** Remaining share of the error budget over the longest window; negative when overspent. */
	readonly budgetLeft: number;
	/** Time until the budget is spent at the rate of the last hour; undefined if that rate is 0. */
	readonly spentInMs: number | undefined;
	/** Causes over the last hour, the most frequent first. */
	readonly causes: ReadonlyArray<readonly [string, number]>;
	/** Latency percentiles over the current and the previous hour. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Good requests and all requests of each hour, in chronological order. */
	readonly points: ReadonlyArray<{
		readonly atMs: number;
		readonly good: number;
		readonly total: number;
	}>;
};

const hourWindowIndex = 1;

/**
 * Computes the burn of every service and rank from the histories of several data centres.
 *
 * @example
 * const rows = computeBurn([history1, history2], objectiveOf, clock.now());
 */
export const computeBurn = (
	histories: readonly OutcomeHistory[],
	objectiveOf: (service: string, rank: string) => Objective,
	nowMs: number,
): Burn[] => {
	const byKey = new Map<string, Row[]>();
	for (const row of histories.flatMap(({rows}) => rows)) {
		const key = `${row.service}\u0000${row.rank}`;
		byKey.set(key, [...(byKey.get(key) ?? []), row]);
	}

	return [...byKey.values()].map(rows => burnOf(rows, objectiveOf, nowMs));
};

const burnOf = (
	rows: readonly Row[],
	objectiveOf: (service: string, rank: string) => Objective,
	nowMs: number,
): Burn => {
	const {service, rank} = rows[0]!;
	const objective = objectiveOf(service, rank);
	const sums = burnWindows.map(window => sumOf(rows, window, nowMs));
	const rates = sums.map(sum =>
		burnRate(sum.get(outcomeClasses.good), sum.total, objective.goodShare),
	);
	const counts = sums.at(-1)!;
	const budgetSpent = burnRate(counts.get(outcomeClasses.good), counts.total, objective.goodShare);
	const latencies = rows.flatMap(row => row.latencies.flatMap(([, values]) => values));
	const [p50Ms, p99Ms] = LatencyHistogram.of(latencies).percentiles(50, 99);
	return {
		service,
		rank,
		counts,
		objective,
		rates,
		alert: alertOf(rates),
		budgetLeft: 1 - budgetSpent,
		spentInMs: timeUntilSpentMs(1 - budgetSpent, rates[hourWindowIndex]!),
		causes: causesOf(rows, nowMs),
		p50Ms: p50Ms!,
		p99Ms: p99Ms!,
		points: pointsOf(rows),
	};
};

const sumOf = (
	rows: readonly Row[],
	{seconds, resolution}: (typeof burnWindows)[number],
	nowMs: number,
): OutcomeCounts => {
	const oldest = Math.floor((nowMs - seconds * 1000) / resolution.bucketMs);
	let sum = OutcomeCounts.empty;
	for (const [index, ...values] of rows.flatMap(row => row.buckets[resolution.name])) {
		if (index > oldest) {
			sum = sum.plus(OutcomeCounts.of(values));
		}
	}

	return sum;
};

const timeUntilSpentMs = (left: number, rate: number): number | undefined => {
	if (left <= 0) {
		return 0;
	}

	return rate === 0 ? undefined : (left * burnWindows.at(-1)!.seconds * 1000) / rate;
};

const causesOf = (rows: readonly Row[], nowMs: number): Array<readonly [string, number]> => {
	const oldest = Math.floor(
		(nowMs - burnWindows[hourWindowIndex].seconds * 1000) / resolutions.tens.bucketMs,
	);
	const causes = new Map<string, number>();
	for (const [index, more] of rows.flatMap(row => row.causes)) {
		if (index > oldest) {
			addCauses(causes, more);
		}
	}

	return [...causes].toSorted((a, b) => b[1] - a[1]);
};

const pointsOf = (rows: readonly Row[]): Burn['points'] => {
	const hours = new Map<number, OutcomeCounts>();
	for (const [index, ...counts] of rows.flatMap(row => row.buckets.hours)) {
		hours.set(index, (hours.get(index) ?? OutcomeCounts.empty).plus(OutcomeCounts.of(counts)));
	}

	return [...hours]
		.toSorted((a, b) => a[0] - b[0])
		.map(([index, counts]) => ({
			atMs: index * resolutions.hours.bucketMs,
			good: counts.get(outcomeClasses.good),
			total: counts.total,
		}));
};
