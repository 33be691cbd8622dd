import * as hdr from 'hdr-histogram-js';

const maxMs = 600_000;
const digits = 2;

/**
 * Latencies of requests, in milliseconds, that merge without loss.
 *
 * @example
 * const latencies = Latencies.create();
 * latencies.add(12);
 * latencies.percentile(99); // 12
 */
export class Latencies {
	/** Creates an empty set. */
	static create(): Latencies {
		return new Latencies(emptyHistogram());
	}

	/** Reads what `text` returned; anything else counts as empty. */
	static of(text: unknown): Latencies {
		if (typeof text !== 'string' || text === '') {
			return Latencies.create();
		}

		try {
			return new Latencies(hdr.decodeFromCompressedBase64(text, 32, false));
		} catch {
			return Latencies.create();
		}
	}

	private constructor(private readonly histogram: hdr.Histogram) {}

	/** Whether nothing was added. */
	get isEmpty(): boolean {
		return this.histogram.totalCount === 0;
	}

	/** The whole set as text; empty when nothing was added. */
	get text(): string {
		return this.isEmpty ? '' : hdr.encodeIntoCompressedBase64(this.histogram);
	}

	/** Adds one latency. */
	add(ms: number): void {
		this.histogram.recordValue(Math.min(maxMs, Math.max(1, Math.round(ms))));
	}

	/** Adds all of another set. */
	merge(other: Latencies): void {
		if (!other.isEmpty) {
			this.histogram.add(other.histogram);
		}
	}

	/** The latency that `share` in 100 do not exceed, in milliseconds; 0 when empty. */
	percentile(share: number): number {
		return this.isEmpty ? 0 : this.histogram.getValueAtPercentile(share);
	}
}

const emptyHistogram = (): hdr.Histogram =>
	hdr.build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxMs,
		numberOfSignificantValueDigits: digits,
		bitBucketSize: 32,
		useWebAssembly: false,
	});
