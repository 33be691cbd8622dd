import {addCauses} from './add-causes.js';
import {Counts} from './counts.js';
import {Latencies} from './latencies.js';
import {levels} from './levels.js';

type LevelName = keyof typeof levels;

/** When a bucket starts, in units of its length, and the counts in the order of `outcomeClasses`. */
type Bucket = readonly [index: number, ...counts: number[]];

type Row = {
	readonly service: string;
	readonly rank: string;
	readonly buckets: Readonly<Record<LevelName, readonly Bucket[]>>;
	/** Causes by the start of their bucket of ten minutes. */
	readonly causes: ReadonlyArray<
		readonly [index: number, causes: ReadonlyArray<readonly [string, number]>]
	>;
	/** Latencies by hour, this one and the one before, as the values of `Latencies`. */
	readonly latencies: ReadonlyArray<readonly [index: number, values: readonly number[]]>;
};

type Counted = {
	readonly service: string;
	readonly rank: string;
	readonly counts: Counts;
	readonly causes: ReadonlyArray<readonly [string, number]>;
	readonly latencies: Latencies;
};

const levelNames = Object.keys(levels) as LevelName[];
const keptLatencies = 2;
const maxRows = 2000;

/**
 * What was counted over the last three days, by service and rank, in bounded size: minutes, tens of
 * minutes and hours each have buckets of their own. A value of plain data, which any codec carries;
 * merging makes a new one.
 *
 * @example
 * const history = History.of(stored).merge(History.of(received)).trim(clock.now());
 */
export class History {
	/** A history without rows. */
	static readonly empty = new History(new Map());

	/** Reads rows that were stored or received; those that are malformed are left out. */
	static of(rows: unknown): History {
		const valid = Array.isArray(rows) ? (rows as Row[]).filter(row => isRow(row)) : [];
		return new History(new Map(valid.map(row => [keyOf(row), cleaned(row)])));
	}

	/** The history of what was counted just now. */
	static from(counted: readonly Counted[], nowMs: number): History {
		return new History(new Map(counted.map(row => [keyOf(row), rowOf(row, nowMs)])));
	}

	private constructor(private readonly byKey: ReadonlyMap<string, Row>) {}

	/** The rows as plain data. */
	get rows(): readonly Row[] {
		return [...this.byKey.values()];
	}

	/** Whether nothing was counted. */
	get isEmpty(): boolean {
		return this.byKey.size === 0;
	}

	/** All together. Many are merged at once at far less cost than one after another. */
	merge(...others: readonly History[]): History {
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

		return new History(new Map([...byKey].map(([key, rows]) => [key, merged(rows)])));
	}

	/** Without what is too old at `nowMs`. */
	trim(nowMs: number): History {
		const rows = [...this.byKey].map(([key, row]) => [key, trimmed(row, nowMs)] as const);
		return new History(new Map(rows.filter(([, {buckets}]) => buckets.hours.length > 0)));
	}

	/** The rows of services that `isWanted`. */
	filter(isWanted: (service: string) => boolean): History {
		return new History(new Map([...this.byKey].filter(([, {service}]) => isWanted(service))));
	}
}

const keyOf = ({service, rank}: Pick<Row, 'service' | 'rank'>): string => `${service}\u0000${rank}`;

const rowOf = ({service, rank, counts, causes, latencies}: Counted, nowMs: number): Row => ({
	service,
	rank,
	buckets: byLevel(name => [[indexAt(name, nowMs), ...counts.values]]),
	causes: causes.length === 0 ? [] : [[indexAt('tens', nowMs), causes]],
	latencies: latencies.isEmpty ? [] : [[indexAt('hours', nowMs), latencies.values]],
});

const merged = (rows: readonly Row[]): Row => {
	const [first] = rows;
	return rows.length === 1
		? first!
		: {
				...first!,
				buckets: byLevel(name => mergedBuckets(rows.map(({buckets}) => buckets[name]))),
				causes: mergedCauses(rows.flatMap(({causes}) => causes)),
				latencies: mergedLatencies(rows.flatMap(({latencies}) => latencies)),
			};
};

const mergedBuckets = (lists: ReadonlyArray<readonly Bucket[]>): Bucket[] => {
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

const mergedCauses = (causes: Row['causes']): Row['causes'] => {
	const sums = new Map<number, Map<string, number>>();
	for (const [index, more] of causes) {
		const sum = sums.get(index) ?? new Map<string, number>();
		addCauses(sum, more);
		sums.set(index, sum);
	}

	return [...sums].map(([index, sum]) => [index, [...sum]]);
};

const mergedLatencies = (latencies: Row['latencies']): Row['latencies'] => {
	const sums = new Map<number, number[]>();
	for (const [index, values] of latencies) {
		const sum = sums.get(index);
		if (sum) {
			sum.push(...values);
		} else {
			sums.set(index, [...values]);
		}
	}

	return [...sums].map(([index, values]) => [index, Latencies.of(values).values]);
};

const trimmed = (row: Row, nowMs: number): Row => {
	const isKept = (name: LevelName, index: number) =>
		index > indexAt(name, nowMs) - levels[name].kept;
	return {
		...row,
		buckets: byLevel(name => row.buckets[name].filter(([index]) => isKept(name, index))),
		causes: row.causes.filter(([index]) => isKept('tens', index)),
		latencies: row.latencies.filter(([index]) => index > indexAt('hours', nowMs) - keptLatencies),
	};
};

const byLevel = <Value>(make: (name: LevelName) => Value): Record<LevelName, Value> => ({
	minutes: make('minutes'),
	tens: make('tens'),
	hours: make('hours'),
});

const indexAt = (name: LevelName, nowMs: number): number =>
	Math.floor(nowMs / levels[name].bucketMs);

/** Puts 0 for whatever is not a count. */
const cleaned = (row: Row): Row => ({
	...row,
	buckets: byLevel(name =>
		row.buckets[name].map(([index, ...values]) => [index, ...Counts.of(values).values]),
	),
	latencies: row.latencies.map(([index, values]) => [index, Latencies.of(values).values]),
});

const isRow = (row: Row | undefined): boolean =>
	typeof row?.service === 'string' &&
	typeof row.rank === 'string' &&
	levelNames.every(name => isPairs(row.buckets?.[name])) &&
	isPairs(row.causes) &&
	row.causes.every(([, causes]) => isPairs(causes)) &&
	isPairs(row.latencies);

const isPairs = (value: unknown): boolean =>
	Array.isArray(value) && value.every(pair => Array.isArray(pair));
