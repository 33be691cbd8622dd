const gain = 0.1;
const maxJobs = 500;

/**
 * Smoothed time that calls hold their place at an upstream, calls downstream included, by job.
 *
 * @example
 * times.note('PAY', 40);
 * times.of('PAY'); // 40
 */
export class HoldTimes {
	/** Creates a table without calls. */
	static create(): HoldTimes {
		return new HoldTimes();
	}

	private readonly jobs = new Map<string, number>();
	private mean = 0;

	private constructor() {}

	/** Mean over the calls of all jobs, in milliseconds; 0 before the first. */
	get meanMs(): number {
		return this.mean;
	}

	/** Mean of one job, in milliseconds; that of all jobs for a job not seen yet. */
	of(job: string): number {
		return this.jobs.get(job) ?? this.mean;
	}

	/** Takes in a call that completed. */
	note(job: string, heldMs: number): void {
		this.mean = smoothed(this.mean, heldMs);
		const known = this.jobs.get(job);
		if (known !== undefined || this.jobs.size < maxJobs) {
			this.jobs.set(job, smoothed(known ?? 0, heldMs));
		}
	}
}

const smoothed = (knownMs: number, ms: number): number =>
	knownMs === 0 ? ms : knownMs + (ms - knownMs) * gain;
