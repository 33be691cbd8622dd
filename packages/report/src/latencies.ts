import * as hdr from 'hdr-histogram-js';

const minMs = 1;
const maxMs = 600_000;

/** Width of a bucket: a percentile is off by half of that share at most. */
const growth = 1.1;
const digits = 3;

/**
 * Latencies of requests in buckets that grow by a tenth, as plain data that any codec carries: the
 * place of a bucket, then its count, for each bucket that is not empty. A value; adding makes a new
 * one. Merging loses nothing.
 *
 * @example
 * Latencies.none.with(12).plus(other).percentiles(50, 99); // [12, 12]
 */
export class Latencies {
	/** No latency at all. */
	static readonly none = new Latencies(new Map());

	/** Reads what `values` gave; anything else counts as empty. */
	static of(values: unknown): Latencies {
		const counts = new Map<number, number>();
		if (Array.isArray(values)) {
			for (let at = 0; at + 1 < values.length; at += 2) {
				const [place, count] = [values[at] as unknown, values[at + 1] as unknown];
				if (isCount(place) && isCount(count) && place <= lastPlace) {
					counts.set(place, (counts.get(place) ?? 0) + count);
				}
			}
		}

		return new Latencies(counts);
	}

	private constructor(private readonly counts: ReadonlyMap<number, number>) {}

	/** Whether nothing was added. */
	get isEmpty(): boolean {
		return this.counts.size === 0;
	}

	/** Places and counts in turn. */
	get values(): readonly number[] {
		return [...this.counts].flat();
	}

	/** One more latency, in milliseconds. */
	with(ms: number): Latencies {
		const place = placeOf(ms);
		return new Latencies(new Map(this.counts).set(place, (this.counts.get(place) ?? 0) + 1));
	}

	/** Both together. */
	plus(other: Latencies): Latencies {
		const counts = new Map(this.counts);
		for (const [place, count] of other.counts) {
			counts.set(place, (counts.get(place) ?? 0) + count);
		}

		return new Latencies(counts);
	}

	/** The latencies that each of `shares` in 100 do not exceed, in milliseconds; 0 when empty. */
	percentiles(...shares: readonly number[]): number[] {
		const histogram = hdr.build({
			highestTrackableValue: maxMs * growth,
			numberOfSignificantValueDigits: digits,
			useWebAssembly: false,
		});
		for (const [place, count] of this.counts) {
			histogram.recordValueWithCount(Math.round(minMs * growth ** place), count);
		}

		return shares.map(share => (this.isEmpty ? 0 : histogram.getValueAtPercentile(share)));
	}
}

const placeOf = (ms: number): number =>
	Math.round(Math.log(Math.min(maxMs, Math.max(minMs, ms)) / minMs) / Math.log(growth));

const lastPlace = placeOf(maxMs);

const isCount = (value: unknown): value is number =>
	Number.isSafeInteger(value) && (value as number) >= 0;
