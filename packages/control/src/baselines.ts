const fallFactor = 0.3;
const riseFactorPerWindow = 1.002;
const minSamples = 5;
const maxJobs = 500;
const minLatencyMs = 0.05;

type Comparison = {
	/** Latency relative to the baseline, averaged over the calls of all jobs. */
	readonly slowdown: number;
	/** Highest factor by which a job was faster than its baseline; 1 when none was faster. */
	readonly maxSpeedup: number;
};

/**
 * Baseline latencies of the jobs at an upstream, with which the calls of a window are compared. A
 * baseline follows the lowest window averages: it falls by part of the difference, since one
 * average may be low by chance, and rises slowly.
 *
 * @example
 * baselines.sample('PAY', 12);
 * baselines.compare()?.slowdown; // 1
 */
export class Baselines {
	/** Creates a table without jobs. */
	static create(): Baselines {
		return new Baselines();
	}

	private readonly jobs = new Map<string, number>();
	private readonly window = new Map<string, {sumMs: number; count: number}>();

	private constructor() {}

	/** The baseline latency of a job, in milliseconds; undefined when it is unknown. */
	of(job: string): number | undefined {
		return this.jobs.get(job);
	}

	/** Adds the latency of one call to the window. */
	sample(job: string, ms: number): void {
		const sum = this.window.get(job) ?? {sumMs: 0, count: 0};
		sum.sumMs += Math.max(minLatencyMs, ms);
		sum.count++;
		this.window.set(job, sum);
	}

	/** Discards the samples of the window. */
	clear(): void {
		this.window.clear();
	}

	/** Compares the window with the baselines and clears it; undefined while it has too few calls. */
	compare(): Comparison | undefined {
		let slowdownSum = 0;
		let total = 0;
		let maxSpeedup = 1;
		for (const [job, {sumMs, count}] of this.window) {
			const averageMs = sumMs / count;
			const baselineMs = this.jobs.get(job);
			if (baselineMs === undefined && this.jobs.size >= maxJobs) {
				continue;
			}

			const updatedMs = updatedBaseline(baselineMs, averageMs);
			this.jobs.set(job, updatedMs);
			maxSpeedup = Math.max(maxSpeedup, (baselineMs ?? averageMs) / averageMs);
			slowdownSum += (count * averageMs) / updatedMs;
			total += count;
		}

		if (total < minSamples) {
			return undefined;
		}

		this.window.clear();
		return {slowdown: slowdownSum / total, maxSpeedup};
	}

	/** Raises all baselines to the current latencies of an upstream that has become slower. */
	rebase(slowdown: number): void {
		for (const [job, baselineMs] of this.jobs) {
			this.jobs.set(job, baselineMs * slowdown);
		}
	}
}

const updatedBaseline = (baselineMs: number | undefined, averageMs: number): number => {
	if (baselineMs === undefined) {
		return averageMs;
	}

	return averageMs < baselineMs
		? baselineMs + (averageMs - baselineMs) * fallFactor
		: Math.min(averageMs, baselineMs * riseFactorPerWindow);
};
