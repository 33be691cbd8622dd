const fallShare = 0.3;
const risePerWindow = 1.002;
const minSamples = 5;
const maxJobs = 500;
const leastMs = 0.05;

type Compared = {
	/** How many times slower than usual the calls were, over all jobs. */
	readonly slowdown: number;
	/** How many times faster than usual the fastest job was; 1 when none was faster. */
	readonly fastest: number;
};

/**
 * The usual latency of each job at an upstream, and what a window of calls shows against it. The usual
 * follows the lowest averages: down by a part of the way, since one may be low by chance, up slowly.
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

	/** The usual latency of a job, in milliseconds; undefined when it is not known. */
	of(job: string): number | undefined {
		return this.jobs.get(job);
	}

	/** Takes the latency of one call into the window. */
	sample(job: string, ms: number): void {
		const sum = this.window.get(job) ?? {sumMs: 0, count: 0};
		sum.sumMs += Math.max(leastMs, ms);
		sum.count++;
		this.window.set(job, sum);
	}

	/** Empties the window. */
	clear(): void {
		this.window.clear();
	}

	/** Compares the window with the usual and empties it; undefined while it has too few calls. */
	compare(): Compared | undefined {
		let weighted = 0;
		let total = 0;
		let fastest = 1;
		for (const [job, {sumMs, count}] of this.window) {
			const averageMs = sumMs / count;
			const known = this.jobs.get(job);
			if (known === undefined && this.jobs.size >= maxJobs) {
				continue;
			}

			const usualMs = usualAfter(known, averageMs);
			this.jobs.set(job, usualMs);
			fastest = Math.max(fastest, (known ?? averageMs) / averageMs);
			weighted += (count * averageMs) / usualMs;
			total += count;
		}

		if (total < minSamples) {
			return undefined;
		}

		this.window.clear();
		return {slowdown: weighted / total, fastest};
	}

	/** Takes what an upstream that has become slower shows now for usual. */
	rebase(slowdown: number): void {
		for (const [job, usualMs] of this.jobs) {
			this.jobs.set(job, usualMs * slowdown);
		}
	}
}

const usualAfter = (knownMs: number | undefined, averageMs: number): number => {
	if (knownMs === undefined) {
		return averageMs;
	}

	return averageMs < knownMs
		? knownMs + (averageMs - knownMs) * fallShare
		: Math.min(averageMs, knownMs * risePerWindow);
};
