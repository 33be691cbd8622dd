import type {Clock, Fault} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import {admissionFaults} from './admission-faults.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {CutoffWindows} from './cutoff-windows.js';
import type {Cutoffs} from './cutoffs.js';
import {HoldTimes} from './hold-times.js';
import {latestStart} from './latest-start.js';
import type {Limit} from './limit.js';
import {RankQueue} from './rank-queue.js';

type Opts = {
	readonly clock: Clock;
	readonly floors: readonly number[];
	readonly slotsHint: number;
	readonly maxLimit: number;
	/** Off admits everything at once: the baseline that the bench compares with. */
	readonly enabled?: boolean;
	/** The limit; found from latency by default. */
	readonly limit?: Limit;
	/** Whether ranks are cut off here; not where the entries are told what share to admit. */
	readonly hasCutoffs?: boolean;
};

type Call = {
	readonly job: string;
	readonly rank: number;
	readonly cohort: number;
	/** Hops from the root; work has been done already for a call deeper than 0. */
	readonly depth: number;
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
};

const maxQueueShare = 2;
const minQueueSize = 16;

/** How far beyond the cutoff a call is admitted that others have already worked for, in cohorts. */
const startedSlack = 32;

/**
 * Admits calls to one upstream: cutoffs first, then a concurrency limit with a short queue by rank.
 * Every refusal is made before the upstream has seen the call, so it is certain that it did not run.
 *
 * @example
 * const permit = await admission.enter({job: 'PAY', rank: 0, cohort: 5, depth: 0, deadlineMs, signal});
 * if (permit.isOk()) {
 * 	admission.leave('PAY', {ownMs: 12, heldMs: 40});
 * }
 */
export class Admission {
	/** Creates an admission with nothing in flight. */
	static create(opts: Opts): Admission {
		return new Admission(opts);
	}

	private readonly limit: Limit;
	private readonly windows: CutoffWindows;
	private readonly queue: RankQueue;
	private readonly holds = HoldTimes.create();
	private running = 0;
	private peak = 0;
	private refusedCount = 0;

	private constructor(private readonly opts: Opts) {
		this.limit = opts.limit ?? ConcurrencyLimit.create(opts);
		this.windows = CutoffWindows.create({
			floors: opts.floors,
			isOn: opts.hasCutoffs !== false,
		});
		this.queue = RankQueue.create(opts.floors);
	}

	/** The cutoffs to send back on answers. */
	get cutoffs(): Cutoffs {
		return this.windows.cutoffs;
	}

	/** Calls that run now. */
	get inFlight(): number {
		return this.running;
	}

	/** Calls that wait now. */
	get waiting(): number {
		return this.queue.size;
	}

	/** The concurrency limit in force. */
	get limitValue(): number {
		return this.limit.value;
	}

	/** Time that calls hold their place, in milliseconds; 0 before the first ended. */
	get meanHoldMs(): number {
		return this.holds.meanMs;
	}

	/** Time that one more call would wait for a place, in milliseconds. */
	get waitMs(): number {
		const ahead = this.running + this.queue.size + 1 - this.limit.value;
		return (Math.max(0, ahead) * this.holds.meanMs) / this.limit.value;
	}

	/** Time that a job holds its place, in milliseconds; 0 before the first ended. */
	holdMs(job: string): number {
		return this.holds.of(job);
	}

	/** Refuses every call that waits; those that run go on. */
	refuseWaiting(): void {
		for (const waiter of this.queue.expired(Number.POSITIVE_INFINITY)) {
			waiter.refuse();
		}
	}

	/** Calls refused since the start. */
	get refused(): number {
		return this.refusedCount;
	}

	/** The usual time of a job at low load, in milliseconds; undefined when it is not known. */
	usualMs(job: string): number | undefined {
		return this.limit.baselineOf(job);
	}

	/** Takes up the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		this.windows.setFloors(floors);
		this.queue.setFloors(floors);
	}

	/** Resolves with a permit to run the call now, or with the reason why not. */
	async enter(call: Call): Promise<Result<true, Fault>> {
		const nowMs = this.opts.clock.monotonic();
		if (this.opts.enabled === false) {
			this.begin(call.rank, nowMs);
			return ok(true);
		}

		if (call.deadlineMs <= nowMs) {
			return this.refuse(admissionFaults.expired);
		}

		const cohort = call.depth > 0 ? call.cohort - startedSlack : call.cohort;
		if (!this.windows.cutoffs.admits(call.rank, cohort)) {
			return this.refuse(admissionFaults.overloaded);
		}

		this.windows.events.arrived(call.rank);
		if (this.running < this.limit.value && this.queue.size === 0) {
			this.begin(call.rank, nowMs);
			return ok(true);
		}

		return this.wait(call, nowMs);
	}

	/**
	 * Ends a permit. `time` is left out when the call did not complete: how long the upstream spent on
	 * the call itself, and how long the call held its place in all, in milliseconds.
	 */
	leave(job: string, time?: {readonly ownMs: number; readonly heldMs: number}): void {
		this.running--;
		if (time) {
			this.windows.events.completions++;
			this.limit.sample(job, time);
			this.holds.note(job, time.heldMs);
		}

		this.grantNext();
	}

	/** Ends a control window: expires waiting calls, then sets limit and cutoffs. */
	closeWindow(): void {
		const nowMs = this.opts.clock.monotonic();
		for (const waiter of this.queue.expired(nowMs)) {
			this.shed(waiter);
		}

		this.limit.closeWindow(this.peak);
		this.peak = this.running;
		this.windows.close({meanHoldMs: this.holds.meanMs, isRamping: this.limit.isRamping});
		this.grantNext();
	}

	private async wait(call: Call, nowMs: number): Promise<Result<true, Fault>> {
		const maxSize = Math.max(minQueueSize, this.limit.value * maxQueueShare);
		if (this.queue.size >= maxSize) {
			const evicted = this.queue.evictBelow({rank: call.rank, isStarted: call.depth > 0});
			if (!evicted) {
				this.windows.events.shed(call.rank);
				return this.refuse(admissionFaults.overloaded);
			}

			this.shed(evicted);
		}

		return new Promise(resolve => {
			const stop = () => {
				if (this.queue.remove(waiter)) {
					resolve(this.refuse(admissionFaults.cancelled));
				}
			};

			const waiter = {
				rank: call.rank,
				isStarted: call.depth > 0,
				enqueuedMs: nowMs,
				expiresMs: latestStart({
					nowMs,
					deadlineMs: call.deadlineMs,
					holdMs: this.holds.of(call.job),
					meanHoldMs: this.holds.meanMs,
					isRamping: this.limit.isRamping,
				}),
				grant() {
					call.signal.removeEventListener('abort', stop);
					resolve(ok(true));
				},
				refuse: () => {
					call.signal.removeEventListener('abort', stop);
					resolve(this.refuse(admissionFaults.overloaded));
				},
			};
			this.queue.push(waiter);
			call.signal.addEventListener('abort', stop, {once: true});
		});
	}

	private grantNext(): void {
		const nowMs = this.opts.clock.monotonic();
		while (this.running < this.limit.value) {
			const waiter = this.queue.next(nowMs);
			if (!waiter) {
				return;
			}

			if (waiter.expiresMs <= nowMs) {
				this.shed(waiter);
				continue;
			}

			this.windows.events.waited(nowMs - waiter.enqueuedMs);
			this.running++;
			this.peak = Math.max(this.peak, this.running);
			waiter.grant();
		}
	}

	private shed({rank, refuse}: {readonly rank: number; readonly refuse: () => void}): void {
		this.windows.events.shed(rank);
		refuse();
	}

	private begin(rank: number, nowMs: number): void {
		this.windows.events.waited(0);
		this.running++;
		this.peak = Math.max(this.peak, this.running);
		this.queue.countServed(rank, nowMs);
	}

	private refuse(fault: Fault): Result<true, Fault> {
		this.refusedCount++;
		return err(fault);
	}
}
