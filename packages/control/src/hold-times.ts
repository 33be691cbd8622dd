const smoothingFactor = 0.1;
const maxJobs = 500;

/**
 * Smoothed hold times by job: how long a call occupies a slot of an upstream, including the time of
 * its downstream calls.
 *
 * @example
 * times.record('PAY', 40);
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

	/** Mean of one job, in milliseconds; the mean of all jobs for an unknown job. */
	of(job: string): number {
		return this.jobs.get(job) ?? this.mean;
	}

	/** Records the hold time of a completed call. */
	record(job: string, heldMs: number): void {
		this.mean = smoothed(this.mean, heldMs);
		const known = this.jobs.get(job);
		if (known !== undefined || this.jobs.size < maxJobs) {
			this.jobs.set(job, smoothed(known ?? 0, heldMs));
		}
	}
}

const smoothed = (knownMs: number, ms: number): number =>
	knownMs === 0 ? ms : knownMs + (ms - knownMs) * smoothingFactor;
