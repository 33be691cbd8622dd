import * as hdr from 'hdr-histogram-js';

const minMs = 1;
const maxMs = 600_000;

/** Ratio between neighbouring buckets; the error of a percentile is at most half of that step. */
const bucketGrowth = 1.1;
const significantDigits = 3;

/**
 * Histogram of request latencies with buckets that grow by a tenth. Immutable; merging is lossless.
 * Its plain data, which any codec can encode, is the index and then the count of each bucket that
 * is not empty.
 *
 * @example
 * LatencyHistogram.empty.with(12).plus(other).percentiles(50, 99); // [12, 12]
 */
export class LatencyHistogram {
	/** A histogram without latencies. */
	static readonly empty = new LatencyHistogram(new Map());

	/** Reads plain data in the format of `values`; invalid data is skipped. */
	static of(values: unknown): LatencyHistogram {
		const counts = new Map<number, number>();
		if (Array.isArray(values)) {
			for (let at = 0; at + 1 < values.length; at += 2) {
				const [index, count] = [values[at] as unknown, values[at + 1] as unknown];
				if (isCount(index) && isCount(count) && index <= lastBucketIndex) {
					counts.set(index, (counts.get(index) ?? 0) + count);
				}
			}
		}

		return new LatencyHistogram(counts);
	}

	private constructor(private readonly counts: ReadonlyMap<number, number>) {}

	/** Whether the histogram has no latencies. */
	get isEmpty(): boolean {
		return this.counts.size === 0;
	}

	/** Bucket indexes and counts, alternating. */
	get values(): readonly number[] {
		return [...this.counts].flat();
	}

	/** Returns the histogram with one more latency in milliseconds. */
	with(ms: number): LatencyHistogram {
		const index = bucketIndexOf(ms);
		return new LatencyHistogram(new Map(this.counts).set(index, (this.counts.get(index) ?? 0) + 1));
	}

	/** Returns the sum of both histograms. */
	plus(other: LatencyHistogram): LatencyHistogram {
		const counts = new Map(this.counts);
		for (const [index, count] of other.counts) {
			counts.set(index, (counts.get(index) ?? 0) + count);
		}

		return new LatencyHistogram(counts);
	}

	/**
	 * Returns the latency in milliseconds at each of the percentiles; 0 if the histogram is empty.
	 */
	percentiles(...percents: readonly number[]): number[] {
		const histogram = hdr.build({
			highestTrackableValue: maxMs * bucketGrowth,
			numberOfSignificantValueDigits: significantDigits,
			useWebAssembly: false,
		});
		for (const [index, count] of this.counts) {
			histogram.recordValueWithCount(Math.round(minMs * bucketGrowth ** index), count);
		}

		return percents.map(percent => (this.isEmpty ? 0 : histogram.getValueAtPercentile(percent)));
	}
}

const bucketIndexOf = (ms: number): number =>
	Math.round(Math.log(Math.min(maxMs, Math.max(minMs, ms)) / minMs) / Math.log(bucketGrowth));

const lastBucketIndex = bucketIndexOf(maxMs);

const isCount = (value: unknown): value is number =>
	Number.isSafeInteger(value) && (value as number) >= 0;
