import type {Clock} from '@medlarsaddle/core';
import {sharesByRank} from './shares-by-rank.js';

type Request = {
	readonly job: string;
	readonly rank: number;
	/** Work of one such request at each service, in slot-milliseconds. */
	readonly footprint: ReadonlyMap<string, number>;
	/** Whether its caller retries after a refusal or a missing answer. */
	readonly isRetry: boolean;
};

/** Requests of a job with exponential decay, and the credit left of its admitted share. */
type Demand = {
	firstAttempts: number;
	retries: number;
	credit: number;
	lastDecayMs: number;
};

type Opts = {
	readonly clock: Clock;
	/** Share of the offered work that a service can serve. */
	readonly shareOf: (service: string) => number;
};

/** Half-life of the recorded demand. */
const halfLifeMs = 1000;

/** A service where a request causes less work, in slot-milliseconds, is not considered. */
const minWorkMs = 1;

/**
 * Decides at the entry which requests to admit while downstream services cannot serve all work
 * offered to them. The servable share is divided among ranks by the recent demand at this entry,
 * and spread evenly within a rank, with retries before first attempts. This handles the load pattern
 * in which a burst of one kind of request starves others at a service that all of them call.
 *
 * @example
 * if (!entry.admit({job, rank, footprint, isRetry: false}).isAdmitted) {
 * 	refuse();
 * }
 */
export class EntryAdmission {
	/** Creates an entry admission without recorded demand. */
	static create(opts: Opts): EntryAdmission {
		return new EntryAdmission(opts);
	}

	/** Recently offered work, by service and rank. */
	private readonly offeredMs = new Map<string, number[]>();
	private readonly demands = new Map<string, Demand>();
	private lastDecayMs: number;

	private constructor(private readonly opts: Opts) {
		this.lastDecayMs = opts.clock.monotonic();
	}

	/** Whether a request is admitted, and if not, the service that lacks capacity for it. */
	admit({job, rank, footprint, isRetry}: Request): {
		readonly isAdmitted: boolean;
		readonly by?: string;
	} {
		this.decay();
		let minShare = 1;
		let by: string | undefined;
		for (const [service, workMs] of footprint) {
			if (workMs < minWorkMs) {
				continue;
			}

			const offeredMs = this.offeredMs.get(service) ?? [];
			while (offeredMs.length <= rank) {
				offeredMs.push(0);
			}

			offeredMs[rank]! += workMs;
			this.offeredMs.set(service, offeredMs);
			const share = this.opts.shareOf(service);
			if (share < 1) {
				const budget = share * offeredMs.reduce((sum, work) => sum + work, 0);
				const admitted = sharesByRank(offeredMs, budget)[rank]!;
				if (admitted < minShare) {
					minShare = admitted;
					by = service;
				}
			}
		}

		return this.admitShare(job, minShare, isRetry) ? {isAdmitted: true} : {isAdmitted: false, by};
	}

	/**
	 * Admits `share` of the requests of a job, evenly spaced. All retries are admitted while the
	 * share allows, since refusing them again wastes the time that their callers have waited.
	 */
	private admitShare(job: string, share: number, isRetry: boolean): boolean {
		const demand = this.noteDemand(job, isRetry);
		if (share >= 1) {
			demand.credit = 1;
			return true;
		}

		const total = demand.firstAttempts + demand.retries;
		const retryShare = Math.min(1, (share * total) / Math.max(1, demand.retries));
		const firstAttemptShare =
			Math.max(0, share * total - demand.retries * retryShare) / Math.max(1, demand.firstAttempts);
		demand.credit += isRetry ? retryShare : Math.min(1, firstAttemptShare);
		if (demand.credit < 1) {
			return false;
		}

		demand.credit -= 1;
		return true;
	}

	private noteDemand(job: string, isRetry: boolean): Demand {
		const nowMs = this.opts.clock.monotonic();
		const demand = this.demands.get(job) ?? {
			firstAttempts: 0,
			retries: 0,
			credit: 1,
			lastDecayMs: nowMs,
		};
		const decayFactor = 0.5 ** ((nowMs - demand.lastDecayMs) / halfLifeMs);
		demand.firstAttempts = demand.firstAttempts * decayFactor + (isRetry ? 0 : 1);
		demand.retries = demand.retries * decayFactor + (isRetry ? 1 : 0);
		demand.lastDecayMs = nowMs;
		this.demands.set(job, demand);
		return demand;
	}

	private decay(): void {
		const nowMs = this.opts.clock.monotonic();
		const decayFactor = 0.5 ** ((nowMs - this.lastDecayMs) / halfLifeMs);
		this.lastDecayMs = nowMs;
		for (const [service, offeredMs] of this.offeredMs) {
			this.offeredMs.set(
				service,
				offeredMs.map(work => work * decayFactor),
			);
		}
	}
}
