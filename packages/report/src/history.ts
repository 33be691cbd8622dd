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
	/** Latencies by hour, this one and the one before, as `Latencies` writes them. */
	readonly latencies: ReadonlyArray<readonly [index: number, text: string]>;
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
 * const history = History.of(stored).merge(History.of(received), clock.now());
 */
export class History {
	/** A history without rows. */
	static readonly empty = new History([]);

	/** Reads rows that were stored or received; those that are malformed are left out. */
	static of(rows: unknown): History {
		return new History(Array.isArray(rows) ? (rows as Row[]).filter(row => isRow(row)) : []);
	}

	/** The history of what was counted just now. */
	static from(counted: readonly Counted[], nowMs: number): History {
		return new History(counted.map(row => rowOf(row, nowMs)));
	}

	private constructor(readonly rows: readonly Row[]) {}

	/** Whether nothing was counted. */
	get isEmpty(): boolean {
		return this.rows.length === 0;
	}

	/** Both together, without what is too old at `nowMs`. */
	merge(other: History, nowMs: number): History {
		const rows = new Map(this.rows.map(row => [keyOf(row), row]));
		for (const row of other.rows) {
			const known = rows.get(keyOf(row));
			if (known !== undefined) {
				rows.set(keyOf(row), merged(known, row));
			} else if (rows.size < maxRows) {
				rows.set(keyOf(row), row);
			}
		}

		return new History(
			[...rows.values()]
				.map(row => trimmed(row, nowMs))
				.filter(({buckets}) => buckets.hours.length > 0),
		);
	}

	/** The rows of services that `isWanted`. */
	filter(isWanted: (service: string) => boolean): History {
		return new History(this.rows.filter(({service}) => isWanted(service)));
	}
}

const keyOf = ({service, rank}: Pick<Row, 'service' | 'rank'>): string => `${service}\u0000${rank}`;

const rowOf = ({service, rank, counts, causes, latencies}: Counted, nowMs: number): Row => ({
	service,
	rank,
	buckets: byLevel(name => [[indexAt(name, nowMs), ...counts.values]]),
	causes: causes.length === 0 ? [] : [[indexAt('tens', nowMs), causes]],
	latencies: latencies.isEmpty ? [] : [[indexAt('hours', nowMs), latencies.text]],
});

const merged = (a: Row, b: Row): Row => ({
	...a,
	buckets: byLevel(name => mergedBuckets([...a.buckets[name], ...b.buckets[name]])),
	causes: mergedCauses([...a.causes, ...b.causes]),
	latencies: mergedLatencies([...a.latencies, ...b.latencies]),
});

const mergedBuckets = (buckets: readonly Bucket[]): Bucket[] => {
	const sums = new Map<number, Counts>();
	for (const [index, ...values] of buckets) {
		sums.set(index, (sums.get(index) ?? Counts.none).plus(Counts.of(values)));
	}

	return [...sums].map(([index, {values}]) => [index, ...values]);
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
	const sums = new Map<number, Latencies>();
	for (const [index, text] of latencies) {
		const sum = sums.get(index) ?? Latencies.create();
		sum.merge(Latencies.of(text));
		sums.set(index, sum);
	}

	return [...sums].map(([index, sum]) => [index, sum.text]);
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

const isRow = (row: Row | undefined): boolean =>
	typeof row?.service === 'string' &&
	typeof row.rank === 'string' &&
	levelNames.every(name => isPairs(row.buckets?.[name])) &&
	isPairs(row.causes) &&
	row.causes.every(([, causes]) => isPairs(causes)) &&
	isPairs(row.latencies);

const isPairs = (value: unknown): boolean =>
	Array.isArray(value) && value.every(pair => Array.isArray(pair));
