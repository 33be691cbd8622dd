import type {Clock, Fault} from '@medlarsaddle/core';
import {type Result, err, ok} from 'neverthrow';
import {admissionFaults} from './admission-faults.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {AdmissionCutoffs} from './admission-cutoffs.js';
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
	/** False admits every call at once: the baseline that the benchmark compares with. */
	readonly isEnabled?: boolean;
	/** The concurrency limit; estimated from latency by default. */
	readonly limit?: Limit;
	/** Whether cutoffs are set here; false where entry nodes admit a published share instead. */
	readonly hasCutoffs?: boolean;
};

type Call = {
	readonly job: string;
	readonly rank: number;
	readonly cohort: number;
	/** Hops from the root; a call with a depth above 0 has had work done for its request already. */
	readonly depth: number;
	readonly deadlineMs: number;
	readonly signal: AbortSignal;
};

const queueSizePerLimit = 2;
const minQueueSize = 16;

/** How far beyond the cutoff a call with prior work is still admitted. */
const startedSlackCohorts = 32;

/**
 * Admits calls to one upstream: cutoffs first, then a concurrency limit with a short queue by rank.
 * Calls are refused only before they are sent to the upstream, so a refused call has certainly not
 * run.
 *
 * @example
 * const call = {job: 'PAY', rank: 0, cohort: 5, depth: 0, deadlineMs, signal};
 * const permit = await admission.acquire(call);
 * if (permit.isOk()) {
 * 	admission.release('PAY', {ownMs: 12, heldMs: 40});
 * }
 */
export class Admission {
	/** Creates an admission with nothing in flight. */
	static create(opts: Opts): Admission {
		return new Admission(opts);
	}

	private readonly limit: Limit;
	private readonly admissionCutoffs: AdmissionCutoffs;
	private readonly queue: RankQueue;
	private readonly holdTimes = HoldTimes.create();
	private running = 0;
	private peakInFlight = 0;
	private refusedCount = 0;

	private constructor(private readonly opts: Opts) {
		this.limit = opts.limit ?? ConcurrencyLimit.create(opts);
		this.admissionCutoffs = AdmissionCutoffs.create({
			floors: opts.floors,
			isEnabled: opts.hasCutoffs !== false,
		});
		this.queue = RankQueue.create(opts.floors);
	}

	/** The cutoffs to return on answers. */
	get cutoffs(): Cutoffs {
		return this.admissionCutoffs.cutoffs;
	}

	/** Number of running calls. */
	get inFlight(): number {
		return this.running;
	}

	/** Number of waiting calls. */
	get waiting(): number {
		return this.queue.size;
	}

	/** The concurrency limit in force. */
	get limitValue(): number {
		return this.limit.value;
	}

	/** Mean hold time of all jobs, in milliseconds; 0 before the first call has ended. */
	get meanHoldMs(): number {
		return this.holdTimes.meanMs;
	}

	/** Expected wait of one more call for a slot, in milliseconds. */
	get waitMs(): number {
		const ahead = this.running + this.queue.size + 1 - this.limit.value;
		return (Math.max(0, ahead) * this.holdTimes.meanMs) / this.limit.value;
	}

	/** Hold time of a job, in milliseconds; 0 before the first call has ended. */
	holdMs(job: string): number {
		return this.holdTimes.of(job);
	}

	/** Refuses every waiting call; running calls continue. */
	refuseWaiting(): void {
		for (const waiter of this.queue.removeExpired(Number.POSITIVE_INFINITY)) {
			waiter.refuse();
		}
	}

	/** Calls refused since the start. */
	get refused(): number {
		return this.refusedCount;
	}

	/** The baseline latency of a job at low load, in milliseconds; undefined when it is unknown. */
	baselineMs(job: string): number | undefined {
		return this.limit.baselineOf(job);
	}

	/** Applies the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		this.admissionCutoffs.setFloors(floors);
		this.queue.setFloors(floors);
	}

	/** Resolves with a permit once the call may run, or with the fault for which it is refused. */
	async acquire(call: Call): Promise<Result<true, Fault>> {
		const nowMs = this.opts.clock.monotonic();
		if (this.opts.isEnabled === false) {
			this.startNow(call.rank, nowMs);
			return ok(true);
		}

		if (call.deadlineMs <= nowMs) {
			return this.refuse(admissionFaults.expired);
		}

		const cohort = call.depth > 0 ? call.cohort - startedSlackCohorts : call.cohort;
		if (!this.admissionCutoffs.cutoffs.admits(call.rank, cohort)) {
			return this.refuse(admissionFaults.overloaded);
		}

		this.admissionCutoffs.currentInterval.noteArrived(call.rank);
		if (this.running < this.limit.value && this.queue.size === 0) {
			this.startNow(call.rank, nowMs);
			return ok(true);
		}

		return this.enqueue(call, nowMs);
	}

	/**
	 * Releases a permit. `time` is the upstream's own time on the call and the whole hold time, in
	 * milliseconds; it is omitted when the call did not complete.
	 */
	release(job: string, time?: {readonly ownMs: number; readonly heldMs: number}): void {
		this.running--;
		if (time) {
			this.admissionCutoffs.currentInterval.completions++;
			this.limit.sample(job, time);
			this.holdTimes.record(job, time.heldMs);
		}

		this.grantNext();
	}

	/** Ends a control window: expires waiting calls, then updates the limit and the cutoffs. */
	closeWindow(): void {
		const nowMs = this.opts.clock.monotonic();
		for (const waiter of this.queue.removeExpired(nowMs)) {
			this.shed(waiter);
		}

		this.limit.closeWindow(this.peakInFlight);
		this.peakInFlight = this.running;
		this.admissionCutoffs.close({
			meanHoldMs: this.holdTimes.meanMs,
			isRamping: this.limit.isRamping,
		});
		this.grantNext();
	}

	private async enqueue(call: Call, nowMs: number): Promise<Result<true, Fault>> {
		const maxSize = Math.max(minQueueSize, this.limit.value * queueSizePerLimit);
		if (this.queue.size >= maxSize) {
			const evicted = this.queue.evictBelow({rank: call.rank, isStarted: call.depth > 0});
			if (!evicted) {
				this.admissionCutoffs.currentInterval.noteShed(call.rank);
				return this.refuse(admissionFaults.overloaded);
			}

			this.shed(evicted);
		}

		return new Promise(resolve => {
			const onAbort = () => {
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
					holdMs: this.holdTimes.of(call.job),
					meanHoldMs: this.holdTimes.meanMs,
					isRamping: this.limit.isRamping,
				}),
				grant() {
					call.signal.removeEventListener('abort', onAbort);
					resolve(ok(true));
				},
				refuse: () => {
					call.signal.removeEventListener('abort', onAbort);
					resolve(this.refuse(admissionFaults.overloaded));
				},
			};
			this.queue.push(waiter);
			call.signal.addEventListener('abort', onAbort, {once: true});
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

			this.admissionCutoffs.currentInterval.noteWait(nowMs - waiter.enqueuedMs);
			this.running++;
			this.peakInFlight = Math.max(this.peakInFlight, this.running);
			waiter.grant();
		}
	}

	private shed({rank, refuse}: {readonly rank: number; readonly refuse: () => void}): void {
		this.admissionCutoffs.currentInterval.noteShed(rank);
		refuse();
	}

	private startNow(rank: number, nowMs: number): void {
		this.admissionCutoffs.currentInterval.noteWait(0);
		this.running++;
		this.peakInFlight = Math.max(this.peakInFlight, this.running);
		this.queue.noteGranted(rank, nowMs);
	}

	private refuse(fault: Fault): Result<true, Fault> {
		this.refusedCount++;
		return err(fault);
	}
}
