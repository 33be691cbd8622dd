import {addCauses} from './add-causes.js';
import {OutcomeCounts} from './outcome-counts.js';
import {LatencyHistogram} from './latency-histogram.js';
import {resolutions} from './resolutions.js';

type ResolutionName = keyof typeof resolutions;

/**
 * Start of a bucket as a multiple of its length, then the counts in the order of `outcomeClasses`.
 */
type Bucket = readonly [index: number, ...counts: number[]];

type Row = {
	readonly service: string;
	readonly rank: string;
	readonly buckets: Readonly<Record<ResolutionName, readonly Bucket[]>>;
	/** Causes by ten-minute bucket. */
	readonly causes: ReadonlyArray<
		readonly [index: number, causes: ReadonlyArray<readonly [string, number]>]
	>;
	/** `LatencyHistogram.values` for the current and the previous hour. */
	readonly latencies: ReadonlyArray<readonly [index: number, values: readonly number[]]>;
};

type CountedRow = {
	readonly service: string;
	readonly rank: string;
	readonly counts: OutcomeCounts;
	readonly causes: ReadonlyArray<readonly [string, number]>;
	readonly latencies: LatencyHistogram;
};

const resolutionNames = Object.keys(resolutions) as ResolutionName[];
const keptLatencyHours = 2;
const maxRows = 2000;

/**
 * Outcomes, causes and latencies of the last three days by service and rank, in bounded size.
 * Counts are kept in buckets of a minute, of ten minutes and of an hour. Immutable; the rows are
 * plain data, which any codec can encode.
 *
 * @example
 * const history = OutcomeHistory.of(stored).merge(OutcomeHistory.of(received)).trim(clock.now());
 */
export class OutcomeHistory {
	/** A history without rows. */
	static readonly empty = new OutcomeHistory(new Map());

	/** Reads stored or received rows; malformed ones are skipped. */
	static of(rows: unknown): OutcomeHistory {
		const valid = Array.isArray(rows) ? (rows as Row[]).filter(row => isRow(row)) : [];
		return new OutcomeHistory(new Map(valid.map(row => [keyOf(row), sanitizeRow(row)])));
	}

	/** Creates the history of requests that ended at about `nowMs`. */
	static from(counted: readonly CountedRow[], nowMs: number): OutcomeHistory {
		return new OutcomeHistory(new Map(counted.map(row => [keyOf(row), rowOf(row, nowMs)])));
	}

	private constructor(private readonly byKey: ReadonlyMap<string, Row>) {}

	/** The rows as plain data. */
	get rows(): readonly Row[] {
		return [...this.byKey.values()];
	}

	/** Whether the history has no rows. */
	get isEmpty(): boolean {
		return this.byKey.size === 0;
	}

	/** Returns the sum of all histories. Merging many at once is much cheaper than one by one. */
	merge(...others: readonly OutcomeHistory[]): OutcomeHistory {
		const byKey = new Map<string, Row[]>();
		for (const {byKey: rows} of [this, ...others]) {
			for (const [key, row] of rows) {
				const same = byKey.get(key);
				if (same) {
					same.push(row);
				} else if (byKey.size < maxRows) {
					byKey.set(key, [row]);
				}
			}
		}

		return new OutcomeHistory(new Map([...byKey].map(([key, rows]) => [key, mergeRows(rows)])));
	}

	/** Returns the history without the buckets that have expired at `nowMs`. */
	trim(nowMs: number): OutcomeHistory {
		const rows = [...this.byKey].map(([key, row]) => [key, trimRow(row, nowMs)] as const);
		return new OutcomeHistory(new Map(rows.filter(([, {buckets}]) => buckets.hours.length > 0)));
	}

	/** Returns the history of the services for which `isWanted` is true. */
	filter(isWanted: (service: string) => boolean): OutcomeHistory {
		return new OutcomeHistory(
			new Map([...this.byKey].filter(([, {service}]) => isWanted(service))),
		);
	}
}

const keyOf = ({service, rank}: Pick<Row, 'service' | 'rank'>): string => `${service}\u0000${rank}`;

const rowOf = ({service, rank, counts, causes, latencies}: CountedRow, nowMs: number): Row => ({
	service,
	rank,
	buckets: byResolution(name => [[bucketIndexAt(name, nowMs), ...counts.values]]),
	causes: causes.length === 0 ? [] : [[bucketIndexAt('tens', nowMs), causes]],
	latencies: latencies.isEmpty ? [] : [[bucketIndexAt('hours', nowMs), latencies.values]],
});

const mergeRows = (rows: readonly Row[]): Row => {
	const [first] = rows;
	return rows.length === 1
		? first!
		: {
				...first!,
				buckets: byResolution(name => mergeBuckets(rows.map(({buckets}) => buckets[name]))),
				causes: mergeCauses(rows.flatMap(({causes}) => causes)),
				latencies: mergeLatencies(rows.flatMap(({latencies}) => latencies)),
			};
};

const mergeBuckets = (lists: ReadonlyArray<readonly Bucket[]>): Bucket[] => {
	const sums = new Map<number, number[]>();
	for (const bucket of lists.flat()) {
		const sum = sums.get(bucket[0]);
		if (!sum) {
			sums.set(bucket[0], [...bucket]);
			continue;
		}

		for (let at = 1; at < bucket.length; at++) {
			sum[at] = (sum[at] ?? 0) + bucket[at]!;
		}
	}

	return [...sums.values()] as unknown as Bucket[];
};

const mergeCauses = (causes: Row['causes']): Row['causes'] => {
	const sums = new Map<number, Map<string, number>>();
	for (const [index, more] of causes) {
		const sum = sums.get(index) ?? new Map<string, number>();
		addCauses(sum, more);
		sums.set(index, sum);
	}

	return [...sums].map(([index, sum]) => [index, [...sum]]);
};

const mergeLatencies = (latencies: Row['latencies']): Row['latencies'] => {
	const sums = new Map<number, number[]>();
	for (const [index, values] of latencies) {
		const sum = sums.get(index);
		if (sum) {
			sum.push(...values);
		} else {
			sums.set(index, [...values]);
		}
	}

	return [...sums].map(([index, values]) => [index, LatencyHistogram.of(values).values]);
};

const trimRow = (row: Row, nowMs: number): Row => {
	const isKept = (name: ResolutionName, index: number) =>
		index > bucketIndexAt(name, nowMs) - resolutions[name].keptBuckets;
	return {
		...row,
		buckets: byResolution(name => row.buckets[name].filter(([index]) => isKept(name, index))),
		causes: row.causes.filter(([index]) => isKept('tens', index)),
		latencies: row.latencies.filter(
			([index]) => index > bucketIndexAt('hours', nowMs) - keptLatencyHours,
		),
	};
};

const byResolution = <Value>(
	make: (name: ResolutionName) => Value,
): Record<ResolutionName, Value> => ({
	minutes: make('minutes'),
	tens: make('tens'),
	hours: make('hours'),
});

const bucketIndexAt = (name: ResolutionName, nowMs: number): number =>
	Math.floor(nowMs / resolutions[name].bucketMs);

/** Replaces values that are not valid counts by 0. */
const sanitizeRow = (row: Row): Row => ({
	...row,
	buckets: byResolution(name =>
		row.buckets[name].map(([index, ...values]) => [index, ...OutcomeCounts.of(values).values]),
	),
	latencies: row.latencies.map(([index, values]) => [index, LatencyHistogram.of(values).values]),
});

const isRow = (row: Row | undefined): boolean =>
	typeof row?.service === 'string' &&
	typeof row.rank === 'string' &&
	resolutionNames.every(name => isArrayOfArrays(row.buckets?.[name])) &&
	isArrayOfArrays(row.causes) &&
	row.causes.every(([, causes]) => isArrayOfArrays(causes)) &&
	isArrayOfArrays(row.latencies);

const isArrayOfArrays = (value: unknown): boolean =>
	Array.isArray(value) && value.every(pair => Array.isArray(pair));
