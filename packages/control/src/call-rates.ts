import type {Clock} from '@medlarsaddle/core';

type Job = {
	/** Calls of the job that run now. */
	running: number;
	/** When `runMs` was last brought up to date, in monotonic milliseconds. */
	atMs: number;
	/** Time that calls of the job ran in this window, in milliseconds. */
	runMs: number;
	/** Starts of calls, older ones counting less. */
	starts: number;
	/** Time that calls of the job ran, older time counting less. */
	totalMs: number;
	/** Sums over windows of this job's running time times that of each job. */
	readonly together: Map<string, number>;
	/** Sums over windows of this job's running time times the calls made to each target. */
	readonly beside: Map<string, number>;
};

/** Share of everything that is kept with each window of 100 ms: half is forgotten in 14 s. */
const keptPerWindow = 0.995;

/** Rounds of the fit; with a handful of jobs it has settled by then. */
const rounds = 30;
const maxJobs = 16;

/** Fewer calls than this for each request are taken for chance. */
const leastCalls = 0.05;

/**
 * How many calls of each target the upstream makes for one request of each job it runs. Calls do not
 * name the request that they belong to, so the calls made in each window are fitted, by least squares
 * without negative rates, to how long each job ran in it.
 *
 * @example
 * rates.started('PAY');
 * rates.called('LEDGER');
 * rates.callsOf('PAY'); // Map {'LEDGER' => 1}
 */
export class CallRates {
	/** Creates rates that know no job. */
	static create(clock: Clock): CallRates {
		return new CallRates(clock);
	}

	private readonly jobs = new Map<string, Job>();
	/** Calls made in this window, by target. */
	private readonly made = new Map<string, number>();
	private readonly targets = new Set<string>();
	/** Fitted calls for each millisecond that a job runs, by target, then by job. */
	private fitted = new Map<string, Map<string, number>>();

	private constructor(private readonly clock: Clock) {}

	/** Notes that the upstream started a call of a job. */
	started(name: string): void {
		let job = this.jobs.get(name);
		if (!job) {
			if (this.jobs.size >= maxJobs) {
				return;
			}

			job = {
				running: 0,
				atMs: this.clock.monotonic(),
				runMs: 0,
				starts: 0,
				totalMs: 0,
				together: new Map(),
				beside: new Map(),
			};
			this.jobs.set(name, job);
		}

		this.bringUp(job);
		job.running++;
		job.starts++;
	}

	/** Notes that a call ended. */
	ended(name: string): void {
		const job = this.jobs.get(name);
		if (job) {
			this.bringUp(job);
			job.running = Math.max(0, job.running - 1);
		}
	}

	/** Notes that the upstream made a call. */
	called(target: string): void {
		if (this.targets.has(target) || this.targets.size < maxJobs) {
			this.targets.add(target);
			this.made.set(target, (this.made.get(target) ?? 0) + 1);
		}
	}

	/** Ends a window of about 100 ms. */
	closeWindow(): void {
		for (const job of this.jobs.values()) {
			this.bringUp(job);
		}

		for (const job of this.jobs.values()) {
			job.starts *= keptPerWindow;
			job.totalMs = job.totalMs * keptPerWindow + job.runMs;
			for (const [name, other] of this.jobs) {
				const sum = (job.together.get(name) ?? 0) * keptPerWindow;
				job.together.set(name, sum + job.runMs * other.runMs);
			}

			for (const target of this.targets) {
				const sum = (job.beside.get(target) ?? 0) * keptPerWindow;
				job.beside.set(target, sum + job.runMs * (this.made.get(target) ?? 0));
			}
		}

		for (const job of this.jobs.values()) {
			job.runMs = 0;
		}

		this.made.clear();
		this.fitted = new Map([...this.targets].map(target => [target, this.fit(target)]));
	}

	/** Calls that one request of a job makes, by the job that is called. */
	callsOf(name: string): ReadonlyMap<string, number> {
		const calls = new Map<string, number>();
		const job = this.jobs.get(name);
		if (!job || job.starts < 1) {
			return calls;
		}

		const usualMs = job.totalMs / job.starts;
		for (const [target, rates] of this.fitted) {
			const count = (rates.get(name) ?? 0) * usualMs;
			if (count >= leastCalls) {
				calls.set(target, count);
			}
		}

		return calls;
	}

	private bringUp(job: Job): void {
		const nowMs = this.clock.monotonic();
		job.runMs += job.running * (nowMs - job.atMs);
		job.atMs = nowMs;
	}

	/** Least squares without negative rates, one job after the other until they have settled. */
	private fit(target: string): Map<string, number> {
		const before = this.fitted.get(target);
		const rates = new Map([...this.jobs.keys()].map(name => [name, before?.get(name) ?? 0]));
		for (let round = 0; round < rounds; round++) {
			for (const [name, job] of this.jobs) {
				const own = job.together.get(name) ?? 0;
				if (own <= 0) {
					continue;
				}

				let rest = job.beside.get(target) ?? 0;
				for (const [other, sum] of job.together) {
					rest -= other === name ? 0 : sum * (rates.get(other) ?? 0);
				}

				rates.set(name, Math.max(0, rest / own));
			}
		}

		return rates;
	}
}
