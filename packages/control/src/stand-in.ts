import type {Clock, Random} from '@medlarsaddle/core';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	/** Time in which a change has to be known, in milliseconds. */
	readonly boundMs: number;
	/** Number of hosts that may try at the same time. */
	readonly hostCount: () => number;
};

/** Shares of the bound: silence of all readers that is taken for their loss, and spread of the tries. */
const silenceShare = 0.55;
const spreadShare = 0.15;

/** Time that the other readers have to contradict one that has lost the source, in milliseconds. */
const confirmMs = 50;

/** With more hosts the tries are spread further, so that their rate at the source is bounded. */
const spreadMsPerHost = 0.7;

/** Share of the bound until the next try after one without an answer; it doubles up to a maximum. */
const retryShare = 0.5;
const maxRetryMs = 5000;

/** A try that is late by more than this was due while the process did not run. */
const maxOverdueMs = 500;

/**
 * Decides when a host calls a source itself that a few others normally read for all: once it has
 * heard nothing of any of them for a share of the bound. Each host decides from what it hears alone,
 * so the time does not grow with the number of hosts that have failed. The tries are spread at
 * random, and the first that is answered keeps the others back.
 *
 * @example
 * if (standIn.isTryDue && (await tryToRead())) {
 * 	standIn.noteAnswered();
 * }
 */
export class StandIn {
	/** Creates the state of a host that has just heard of a reader. */
	static create(opts: Opts): StandIn {
		return new StandIn(opts);
	}

	private dueMs = 0;
	private retryMs = 0;
	private hasTakenOver = false;

	private constructor(private readonly opts: Opts) {
		this.noteReader();
	}

	/** Whether this host reads in place of the readers. */
	get isActive(): boolean {
		return this.hasTakenOver;
	}

	/** Milliseconds until a try is due. */
	get waitMs(): number {
		return Math.max(0, this.dueMs - this.opts.clock.monotonic());
	}

	/** Whether this host is to call the source now. */
	get isTryDue(): boolean {
		const overdueMs = this.opts.clock.monotonic() - this.dueMs;
		if (overdueMs > maxOverdueMs) {
			this.tryWithin(confirmMs);
			return false;
		}

		return overdueMs >= 0;
	}

	/** Records that a reader is in contact with the source, which ends standing in for it. */
	noteReader(): void {
		this.hasTakenOver = false;
		this.retryMs = this.opts.boundMs * retryShare;
		this.tryWithin(this.opts.boundMs * silenceShare);
	}

	/** Records that a reader has lost the source. */
	noteDoubt(): void {
		const {dueMs} = this;
		this.tryWithin(confirmMs);
		this.dueMs = Math.min(dueMs, this.dueMs);
	}

	/** Records that the source has answered a try. */
	noteAnswered(): void {
		this.hasTakenOver = true;
	}

	/** Records that the source has not answered this host. */
	noteUnanswered(): void {
		this.hasTakenOver = false;
		this.dueMs = this.opts.clock.monotonic() + this.retryMs * (0.5 + this.opts.random.next());
		this.retryMs = Math.min(maxRetryMs, this.retryMs * 2);
	}

	/** Schedules a try after a delay, at a random time of the spread. */
	private tryWithin(delayMs: number): void {
		const {clock, random, boundMs, hostCount} = this.opts;
		const spreadMs = Math.max(boundMs * spreadShare, hostCount() * spreadMsPerHost);
		this.dueMs = clock.monotonic() + delayMs + spreadMs * random.next();
	}
}
