import {setTimeout as delay} from 'node:timers/promises';
import {type Clock, type Random, createRandom} from '@medlarsaddle/core';
import {Agent} from 'undici';
import type {Deployment} from '../deploy/deployment.js';
import {requestOutcomes} from './request-outcomes.js';
import type {RequestResult} from './request-result.js';

type Job = Deployment['jobs'][number];

type Opts = {
	readonly clock: Clock;
	readonly seed: number;
	readonly urls: () => readonly string[];
	readonly jobs: readonly Job[];
	/** Requests per second at a time since the start. */
	readonly rateAt: (elapsedMs: number) => number;
	readonly durationMs: number;
	/** Attempts of each request, with `retryDelayMs` between them; by default no delay. */
	readonly maxAttempts?: number;
	readonly retryDelayMs?: number;
	readonly deadlineMs?: number;
	/** Share of a job among the requests at a time; by default the fixed share of the job. */
	readonly shareAt?: (job: Job, elapsedMs: number) => number;
	readonly poison?: boolean;
};

type Reply = {
	readonly outcome: RequestResult['outcome'];
	readonly run?: string;
	readonly fault?: string;
};

const keysPerFetch = 50;
const defaultDeadlineMs = 3000;
const timeoutSlackMs = 1500;

/**
 * Open-loop load generator: requests start on schedule, however many are still in flight.
 *
 * @example
 * const {results} = await LoadGenerator.run(opts);
 */
export class LoadGenerator {
	/** Sends all requests; resolves when every one has ended. */
	static async run(opts: Opts): Promise<{results: RequestResult[]; lagMs: number[]}> {
		const generator = new LoadGenerator(opts);
		await generator.sendAll();
		await generator.agent.destroy();
		return {results: generator.results, lagMs: generator.lagMs};
	}

	private readonly results: RequestResult[] = [];
	private readonly lagMs: number[] = [];
	private readonly agent = new Agent({connections: 400, pipelining: 1});
	private readonly random: Random;
	private readonly keysByOrigin = new Map<string, string[]>();
	private sequence = 0;

	private constructor(private readonly opts: Opts) {
		this.random = createRandom(opts.seed);
	}

	private async sendAll(): Promise<void> {
		const {clock, durationMs, rateAt} = this.opts;
		const startMs = clock.monotonic();
		const pending: Array<Promise<void>> = [];
		let dueMs = 0;
		for (;;) {
			dueMs += (-Math.log(1 - this.random.next()) / rateAt(dueMs)) * 1000;
			if (dueMs >= durationMs) {
				break;
			}

			const waitMs = startMs + dueMs - clock.monotonic();
			if (waitMs > 0) {
				await delay(waitMs);
			}

			this.lagMs.push(Math.max(0, clock.monotonic() - startMs - dueMs));
			pending.push(this.sendOne(this.pickJob(dueMs), dueMs));
		}

		await Promise.all(pending);
	}

	private pickJob(elapsedMs: number): Job {
		const {jobs, shareAt} = this.opts;
		const shares = jobs.map(job => shareAt?.(job, elapsedMs) ?? job.share);
		let remaining = this.random.next() * shares.reduce((sum, share) => sum + share, 0);
		for (const [index, share] of shares.entries()) {
			remaining -= share;
			if (remaining < 0) {
				return jobs[index]!;
			}
		}

		return jobs.at(-1)!;
	}

	private async sendOne(job: Job, dueMs: number): Promise<void> {
		const {clock, maxAttempts = 1, retryDelayMs = 0, deadlineMs = defaultDeadlineMs} = this.opts;
		const id = `${this.opts.seed}-${this.sequence++}`;
		const startMs = clock.monotonic();
		const key = job.isKeyed ? await this.takeKey() : undefined;
		let reply: Reply = {outcome: requestOutcomes.failed};
		let attempts = 0;
		let isReportedNotRun = true;
		while (attempts < maxAttempts) {
			attempts++;
			reply = await this.attempt(job, id, key);
			isReportedNotRun &&= reply.run === 'not-run';
			const isDone =
				reply.outcome === requestOutcomes.good || reply.outcome === requestOutcomes.wrong;
			if (isDone || attempts === maxAttempts) {
				break;
			}

			await delay(retryDelayMs);
		}

		const tookMs = clock.monotonic() - startMs;
		const isLate = reply.outcome === requestOutcomes.good && tookMs > deadlineMs;
		this.results.push({
			id,
			job: job.name,
			rank: job.rank,
			service: job.service,
			isKeyed: job.isKeyed,
			dueMs,
			tookMs,
			attempts,
			outcome: isLate ? requestOutcomes.late : reply.outcome,
			isReportedNotRun,
			fault: reply.fault,
		});
	}

	private async attempt(job: Job, id: string, key: string | undefined): Promise<Reply> {
		const {deadlineMs = defaultDeadlineMs, poison = false} = this.opts;
		try {
			const reply = await this.agent.request({
				origin: this.randomUrl(),
				path: `/call/${job.service}/work`,
				method: 'POST',
				headers: {
					'medlar-job': encodeURIComponent(job.job),
					'medlar-deadline-ms': String(deadlineMs),
					...(key === undefined ? {} : {'idempotency-key': key}),
				},
				body: JSON.stringify({id, chain: job.chain, poison}),
				signal: AbortSignal.timeout(deadlineMs + timeoutSlackMs),
			});
			const text = await reply.body.text();
			return classifyReply(reply.statusCode, text, id, job);
		} catch (error) {
			return {outcome: requestOutcomes.unknown, run: 'unknown', fault: String(error)};
		}
	}

	private async takeKey(): Promise<string | undefined> {
		const origin = this.randomUrl();
		const cachedKeys = this.keysByOrigin.get(origin) ?? [];
		this.keysByOrigin.set(origin, cachedKeys);
		if (cachedKeys.length === 0) {
			try {
				const reply = await this.agent.request({
					origin,
					path: `/medlar/keys?count=${keysPerFetch}`,
					method: 'POST',
					signal: AbortSignal.timeout(timeoutSlackMs),
				});
				const {keys} = (await reply.body.json()) as {keys: string[]};
				cachedKeys.push(...keys);
			} catch {
				return undefined;
			}
		}

		return cachedKeys.pop();
	}

	private randomUrl(): string {
		const urls = this.opts.urls();
		return urls[this.random.below(urls.length)]!;
	}
}

/** Classifies an answer. A good one carries the request ID at each step of the whole chain. */
const classifyReply = (status: number, text: string, id: string, job: Job): Reply => {
	let body: Record<string, unknown>;
	try {
		body = JSON.parse(text) as Record<string, unknown>;
	} catch {
		return {outcome: status === 200 ? requestOutcomes.wrong : requestOutcomes.failed};
	}

	if (status === 200) {
		let depth = 0;
		let step: Record<string, unknown> | undefined = body;
		while (step?.id === id) {
			depth++;
			step = step.below as Record<string, unknown> | undefined;
		}

		const isWhole = step === undefined && depth === job.chain.length + 1;
		return {outcome: isWhole ? requestOutcomes.good : requestOutcomes.wrong};
	}

	const run = typeof body.run === 'string' ? body.run : undefined;
	const fault = typeof body.kind === 'string' ? body.kind : `status ${status}`;
	if (run === 'not-run') {
		return {outcome: requestOutcomes.notRun, run, fault};
	}

	return {
		outcome: run === 'unknown' ? requestOutcomes.unknown : requestOutcomes.failed,
		run,
		fault,
	};
};
