import {setTimeout as delay} from 'node:timers/promises';
import {type Clock, type Random, createRandom} from '@medlarsaddle/core';
import {Agent} from 'undici';
import type {Deployment} from '../deploy/deployment.js';
import {requestOutcomes} from './request-outcomes.js';
import type {Shot} from './shot.js';

type Job = Deployment['jobs'][number];

type Opts = {
	readonly clock: Clock;
	readonly seed: number;
	readonly urls: () => readonly string[];
	readonly jobs: readonly Job[];
	/** Requests a second at a time from the start. */
	readonly rateAt: (elapsedMs: number) => number;
	readonly durationMs: number;
	/** Tries of each request; a caller that retries hard sends again at once. */
	readonly maxTries?: number;
	readonly retryDelayMs?: number;
	readonly deadlineMs?: number;
	/** Share of a job among the requests at a time; the job's own share by default. */
	readonly shareAt?: (job: Job, elapsedMs: number) => number;
	readonly poison?: boolean;
};

type Reply = {
	readonly outcome: Shot['outcome'];
	readonly run?: string;
	readonly fault?: string;
};

const keysPerFetch = 50;
const defaultDeadlineMs = 3000;
const timeoutSlackMs = 1500;

/**
 * Callers in an open loop: requests start when they are due, however many are still open.
 *
 * @example
 * const {shots} = await Load.run(opts);
 */
export class Load {
	/** Sends the load; resolves when every request has ended. */
	static async run(opts: Opts): Promise<{shots: Shot[]; lagMs: number[]}> {
		const load = new Load(opts);
		await load.sendAll();
		await load.agent.destroy();
		return {shots: load.shots, lagMs: load.lagMs};
	}

	private readonly shots: Shot[] = [];
	private readonly lagMs: number[] = [];
	private readonly agent = new Agent({connections: 400, pipelining: 1});
	private readonly random: Random;
	private readonly keys = new Map<string, string[]>();
	private sequence = 0;

	private constructor(private readonly opts: Opts) {
		this.random = createRandom(opts.seed);
	}

	private async sendAll(): Promise<void> {
		const {clock, durationMs, rateAt} = this.opts;
		const startMs = clock.monotonic();
		const open: Array<Promise<void>> = [];
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
			open.push(this.sendOne(this.pickJob(dueMs), dueMs));
		}

		await Promise.all(open);
	}

	private pickJob(elapsedMs: number): Job {
		const {jobs, shareAt} = this.opts;
		const shares = jobs.map(job => shareAt?.(job, elapsedMs) ?? job.share);
		let left = this.random.next() * shares.reduce((sum, share) => sum + share, 0);
		for (const [index, share] of shares.entries()) {
			left -= share;
			if (left < 0) {
				return jobs[index]!;
			}
		}

		return jobs.at(-1)!;
	}

	private async sendOne(job: Job, dueMs: number): Promise<void> {
		const {clock, maxTries = 1, retryDelayMs = 0, deadlineMs = defaultDeadlineMs} = this.opts;
		const id = `${this.opts.seed}-${this.sequence++}`;
		const startMs = clock.monotonic();
		const key = job.keyed ? await this.takeKey() : undefined;
		let reply: Reply = {outcome: requestOutcomes.failed};
		let tries = 0;
		let saidNotRun = true;
		while (tries < maxTries) {
			tries++;
			reply = await this.try(job, id, key);
			saidNotRun &&= reply.run === 'not-run';
			const isDone =
				reply.outcome === requestOutcomes.good || reply.outcome === requestOutcomes.wrong;
			if (isDone || tries === maxTries) {
				break;
			}

			await delay(retryDelayMs);
		}

		const tookMs = clock.monotonic() - startMs;
		const isLate = reply.outcome === requestOutcomes.good && tookMs > deadlineMs;
		this.shots.push({
			id,
			job: job.name,
			rank: job.rank,
			service: job.service,
			keyed: job.keyed,
			dueMs,
			tookMs,
			tries,
			outcome: isLate ? requestOutcomes.late : reply.outcome,
			saidNotRun,
			fault: reply.fault,
		});
	}

	private async try(job: Job, id: string, key: string | undefined): Promise<Reply> {
		const {deadlineMs = defaultDeadlineMs, poison = false} = this.opts;
		try {
			const reply = await this.agent.request({
				origin: this.anyUrl(),
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
			return judge(reply.statusCode, text, id, job);
		} catch (error) {
			return {outcome: requestOutcomes.unknown, run: 'unknown', fault: String(error)};
		}
	}

	private async takeKey(): Promise<string | undefined> {
		const origin = this.anyUrl();
		const kept = this.keys.get(origin) ?? [];
		this.keys.set(origin, kept);
		if (kept.length === 0) {
			try {
				const reply = await this.agent.request({
					origin,
					path: `/medlar/keys?count=${keysPerFetch}`,
					method: 'POST',
					signal: AbortSignal.timeout(timeoutSlackMs),
				});
				const {keys} = (await reply.body.json()) as {keys: string[]};
				kept.push(...keys);
			} catch {
				return undefined;
			}
		}

		return kept.pop();
	}

	private anyUrl(): string {
		const urls = this.opts.urls();
		return urls[this.random.below(urls.length)]!;
	}
}

/** Judges an answer: it has to be whole and the caller's own, down the whole chain. */
const judge = (status: number, text: string, id: string, job: Job): Reply => {
	let body: Record<string, unknown>;
	try {
		body = JSON.parse(text) as Record<string, unknown>;
	} catch {
		return {outcome: status === 200 ? requestOutcomes.wrong : requestOutcomes.failed};
	}

	if (status === 200) {
		let depth = 0;
		let at: Record<string, unknown> | undefined = body;
		while (at?.id === id) {
			depth++;
			at = at.below as Record<string, unknown> | undefined;
		}

		const isWhole = at === undefined && depth === job.chain.length + 1;
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
