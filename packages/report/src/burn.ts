import {addCauses} from './add-causes.js';
import {alertOf} from './alert-of.js';
import {burnRate} from './burn-rate.js';
import {Counts} from './counts.js';
import type {History} from './history.js';
import {Latencies} from './latencies.js';
import {levels} from './levels.js';
import {outcomeClasses} from './outcome-classes.js';
import {windows} from './windows.js';

type Row = History['rows'][number];

type Objective = {
	readonly goodShare: number;
	/** 0 when only the deadline counts. */
	readonly withinMs: number;
};

type Burn = {
	readonly service: string;
	readonly rank: string;
	/** Counts over the longest window. */
	readonly counts: Counts;
	readonly objective: Objective;
	/** Burn rate over each of `windows`. */
	readonly rates: readonly number[];
	readonly alert: ReturnType<typeof alertOf>;
	/** Share of the error budget of the longest window that is left; below 0 when overspent. */
	readonly budgetLeft: number;
	/** Time until the budget is spent at the rate of the last hour; undefined when it never is. */
	readonly spentInMs: number | undefined;
	/** Causes over the last hour, the largest first. */
	readonly causes: ReadonlyArray<readonly [string, number]>;
	/** Latencies of this hour and the one before. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Good requests and all requests of each hour, in the order of time. */
	readonly points: ReadonlyArray<{
		readonly atMs: number;
		readonly good: number;
		readonly total: number;
	}>;
};

const hourWindow = 1;

/**
 * Works out the burn of every service and rank from the histories of several data centres.
 *
 * @example
 * const rows = burn([history1, history2], objectiveOf, clock.now());
 */
export const burn = (
	histories: readonly History[],
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
	const sums = windows.map(window => sumOf(rows, window, nowMs));
	const rates = sums.map(sum =>
		burnRate(sum.get(outcomeClasses.good), sum.total, objective.goodShare),
	);
	const counts = sums.at(-1)!;
	const spent = burnRate(counts.get(outcomeClasses.good), counts.total, objective.goodShare);
	const latencies = rows.flatMap(row => row.latencies.flatMap(([, values]) => values));
	const [p50Ms, p99Ms] = Latencies.of(latencies).percentiles(50, 99);
	return {
		service,
		rank,
		counts,
		objective,
		rates,
		alert: alertOf(rates),
		budgetLeft: 1 - spent,
		spentInMs: spentIn(1 - spent, rates[hourWindow]!),
		causes: causesOf(rows, nowMs),
		p50Ms: p50Ms!,
		p99Ms: p99Ms!,
		points: pointsOf(rows),
	};
};

const sumOf = (
	rows: readonly Row[],
	{seconds, level}: (typeof windows)[number],
	nowMs: number,
): Counts => {
	const oldest = Math.floor((nowMs - seconds * 1000) / level.bucketMs);
	let sum = Counts.none;
	for (const [index, ...values] of rows.flatMap(row => row.buckets[level.name])) {
		if (index > oldest) {
			sum = sum.plus(Counts.of(values));
		}
	}

	return sum;
};

const spentIn = (left: number, rate: number): number | undefined => {
	if (left <= 0) {
		return 0;
	}

	return rate === 0 ? undefined : (left * windows.at(-1)!.seconds * 1000) / rate;
};

const causesOf = (rows: readonly Row[], nowMs: number): Array<readonly [string, number]> => {
	const oldest = Math.floor((nowMs - windows[hourWindow].seconds * 1000) / levels.tens.bucketMs);
	const causes = new Map<string, number>();
	for (const [index, more] of rows.flatMap(row => row.causes)) {
		if (index > oldest) {
			addCauses(causes, more);
		}
	}

	return [...causes].toSorted((a, b) => b[1] - a[1]);
};

const pointsOf = (rows: readonly Row[]): Burn['points'] => {
	const hours = new Map<number, Counts>();
	for (const [index, ...counts] of rows.flatMap(row => row.buckets.hours)) {
		hours.set(index, (hours.get(index) ?? Counts.none).plus(Counts.of(counts)));
	}

	return [...hours]
		.toSorted((a, b) => a[0] - b[0])
		.map(([index, counts]) => ({
			atMs: index * levels.hours.bucketMs,
			good: counts.get(outcomeClasses.good),
			total: counts.total,
		}));
};
