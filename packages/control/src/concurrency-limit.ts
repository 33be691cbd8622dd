type Opts = {
	/** Slots that the upstream reports; a hint for the first limit only. */
	readonly slotsHint: number;
	readonly maxLimit: number;
};

const coldStartShare = 0.5;
const minLimit = 1;
const minFirstLimit = 4;
const tolerance = 1.5;
const smoothing = 0.5;
const startFactor = 2;
const minGradient = 0.5;
const baselineRisePerWindow = 1.002;
const minSamples = 5;
const maxJobBaselines = 500;

/**
 * Finds how many calls an upstream runs at once without queueing, from latency. Latency is compared
 * with the lowest window average of the same job, so that jobs of different length can share an
 * upstream. A new limit doubles each busy window until latency first rises. From then on it grows by
 * its square root while latency stays near the baseline and shrinks in proportion when it rises. It
 * stays between 1 and the connection limit.
 *
 * @example
 * limit.sample('PAY', 12);
 * limit.closeWindow(maxInFlight);
 */
export class ConcurrencyLimit {
	/** Creates a limit that starts low, since a new upstream may be cold. */
	static create({slotsHint, maxLimit}: Opts): ConcurrencyLimit {
		const most = Math.max(minLimit, maxLimit);
		const first = Math.max(minFirstLimit, Math.ceil(slotsHint * coldStartShare));
		return new ConcurrencyLimit(Math.min(first, most), most);
	}

	private isStarting = true;
	private readonly baselines = new Map<string, number>();
	private readonly window = new Map<string, {sumMs: number; count: number}>();

	private constructor(
		private limit: number,
		private readonly maxLimit: number,
	) {}

	/** The limit in force, a whole number. */
	get value(): number {
		return Math.floor(this.limit);
	}

	/** Whether the limit has not met the capacity of the upstream yet. */
	get isRamping(): boolean {
		return this.isStarting;
	}

	/** The usual latency of a job at low load, in milliseconds; undefined when it is not known. */
	baselineOf(job: string): number | undefined {
		return this.baselines.get(job);
	}

	/** Takes in the upstream's own time on one call, downstream calls left out. */
	sample(job: string, ownMs: number): void {
		const sum = this.window.get(job) ?? {sumMs: 0, count: 0};
		sum.sumMs += Math.max(0.05, ownMs);
		sum.count++;
		this.window.set(job, sum);
	}

	/** Ends a window in which at most `peakInFlight` calls ran at once. */
	closeWindow(peakInFlight: number): void {
		const gradient = this.gradient();
		if (gradient === undefined) {
			return;
		}

		const wanted = this.limit * gradient + Math.sqrt(this.limit);
		// An idle upstream says nothing about how much it could run.
		const grows = wanted > this.limit;
		if (grows && peakInFlight < this.limit / 2) {
			return;
		}

		this.isStarting &&= gradient === 1 && this.limit < this.maxLimit;
		const next = this.isStarting
			? this.limit * startFactor
			: this.limit + (wanted - this.limit) * smoothing;
		this.limit = Math.min(this.maxLimit, Math.max(minLimit, next));
	}

	/** Ratio of expected to seen latency over all jobs of the window; undefined with too few samples. */
	private gradient(): number | undefined {
		let weighted = 0;
		let count = 0;
		for (const [job, sum] of this.window) {
			const averageMs = sum.sumMs / sum.count;
			const known = this.baselines.get(job);
			if (known === undefined && this.baselines.size >= maxJobBaselines) {
				continue;
			}

			const baselineMs = Math.min(averageMs, (known ?? averageMs) * baselineRisePerWindow);
			this.baselines.set(job, baselineMs);
			weighted += sum.count * Math.min(1, (tolerance * baselineMs) / averageMs);
			count += sum.count;
		}

		if (count < minSamples) {
			return undefined;
		}

		this.window.clear();
		return Math.max(minGradient, weighted / count);
	}
}
