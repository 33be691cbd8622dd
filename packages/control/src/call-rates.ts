import type {Clock} from '@medlarsaddle/core';

type Job = {
	/** Calls of the job that are running. */
	running: number;
	/** When `windowRunMs` was last updated, in monotonic milliseconds. */
	updatedMs: number;
	/** Running time of the job's calls in this window, in milliseconds. */
	windowRunMs: number;
	/** Started calls, with exponential decay. */
	starts: number;
	/** Running time of the job's calls in milliseconds, with exponential decay. */
	totalRunMs: number;
	/** Decayed sums over windows: this job's running time multiplied by that of each job. */
	readonly runTimeProducts: Map<string, number>;
	/** Decayed sums over windows: this job's running time multiplied by the calls to each target. */
	readonly callProducts: Map<string, number>;
};

/** Decay factor of all sums for each window of 100 ms; a half-life of 14 s. */
const decayPerWindow = 0.995;

/** Iterations of the fit; enough for it to converge with a handful of jobs. */
const fitIterations = 30;
const maxNames = 16;

/** A fit changes little from one window to the next. */
const windowsPerFit = 5;

/** A lower number of calls for each request counts as noise. */
const minCallsPerRequest = 0.05;

/**
 * Estimates how many calls of each target an upstream makes for one request of each job. Calls do
 * not name the request that they belong to, so the calls of each window are fitted to the running
 * time of each job in that window, by non-negative least squares.
 *
 * @example
 * rates.noteStarted('PAY');
 * rates.noteCalled('LEDGER');
 * rates.callsPerRequest('PAY'); // Map {'LEDGER' => 1}
 */
export class CallRates {
	/** Creates rates without jobs. */
	static create(clock: Clock): CallRates {
		return new CallRates(clock);
	}

	private readonly jobs = new Map<string, Job>();
	/** Calls in this window, by target. */
	private readonly callsByTarget = new Map<string, number>();
	private readonly targets = new Set<string>();
	/** Fitted calls for each millisecond of a job's running time, by target, then by job. */
	private ratesByTarget = new Map<string, Map<string, number>>();
	private windowsSinceFit = 0;

	private constructor(private readonly clock: Clock) {}

	/** Records that the upstream started a call of a job. */
	noteStarted(name: string): void {
		let job = this.jobs.get(name);
		if (!job) {
			if (this.jobs.size >= maxNames) {
				return;
			}

			job = {
				running: 0,
				updatedMs: this.clock.monotonic(),
				windowRunMs: 0,
				starts: 0,
				totalRunMs: 0,
				runTimeProducts: new Map(),
				callProducts: new Map(),
			};
			this.jobs.set(name, job);
		}

		this.updateRunTime(job);
		job.running++;
		job.starts++;
	}

	/** Records that a call of a job ended. */
	noteEnded(name: string): void {
		const job = this.jobs.get(name);
		if (job) {
			this.updateRunTime(job);
			job.running = Math.max(0, job.running - 1);
		}
	}

	/** Records that the upstream made a call. */
	noteCalled(target: string): void {
		if (this.targets.has(target) || this.targets.size < maxNames) {
			this.targets.add(target);
			this.callsByTarget.set(target, (this.callsByTarget.get(target) ?? 0) + 1);
		}
	}

	/** Ends a window of about 100 ms. */
	closeWindow(): void {
		for (const job of this.jobs.values()) {
			this.updateRunTime(job);
		}

		for (const job of this.jobs.values()) {
			job.starts *= decayPerWindow;
			job.totalRunMs = job.totalRunMs * decayPerWindow + job.windowRunMs;
			for (const [name, other] of this.jobs) {
				const sum = (job.runTimeProducts.get(name) ?? 0) * decayPerWindow;
				job.runTimeProducts.set(name, sum + job.windowRunMs * other.windowRunMs);
			}

			for (const target of this.targets) {
				const sum = (job.callProducts.get(target) ?? 0) * decayPerWindow;
				job.callProducts.set(target, sum + job.windowRunMs * (this.callsByTarget.get(target) ?? 0));
			}
		}

		for (const job of this.jobs.values()) {
			job.windowRunMs = 0;
		}

		this.callsByTarget.clear();
		this.windowsSinceFit++;
	}

	/** Calls that one request of a job makes, by target. */
	callsPerRequest(name: string): ReadonlyMap<string, number> {
		const calls = new Map<string, number>();
		const job = this.jobs.get(name);
		if (!job || job.starts < 1) {
			return calls;
		}

		this.fitWhenDue();
		const meanRunMs = job.totalRunMs / job.starts;
		for (const [target, rates] of this.ratesByTarget) {
			const count = (rates.get(name) ?? 0) * meanRunMs;
			if (count >= minCallsPerRequest) {
				calls.set(target, count);
			}
		}

		return calls;
	}

	private fitWhenDue(): void {
		if (this.windowsSinceFit >= windowsPerFit || this.ratesByTarget.size < this.targets.size) {
			this.windowsSinceFit = 0;
			this.ratesByTarget = new Map([...this.targets].map(target => [target, this.fit(target)]));
		}
	}

	private updateRunTime(job: Job): void {
		const nowMs = this.clock.monotonic();
		job.windowRunMs += job.running * (nowMs - job.updatedMs);
		job.updatedMs = nowMs;
	}

	/** Non-negative least squares by coordinate descent, one job after the other. */
	private fit(target: string): Map<string, number> {
		const previous = this.ratesByTarget.get(target);
		const rates = new Map([...this.jobs.keys()].map(name => [name, previous?.get(name) ?? 0]));
		for (let iteration = 0; iteration < fitIterations; iteration++) {
			for (const [name, job] of this.jobs) {
				const ownSum = job.runTimeProducts.get(name) ?? 0;
				if (ownSum <= 0) {
					continue;
				}

				let remainingSum = job.callProducts.get(target) ?? 0;
				for (const [other, sum] of job.runTimeProducts) {
					remainingSum -= other === name ? 0 : sum * (rates.get(other) ?? 0);
				}

				rates.set(name, Math.max(0, remainingSum / ownSum));
			}
		}

		return rates;
	}
}
