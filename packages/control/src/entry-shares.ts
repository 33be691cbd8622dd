import type {Clock} from '@medlarsaddle/core';
import {sharesByRank} from './shares-by-rank.js';

type Request = {
	readonly job: string;
	readonly rank: number;
	/** Work of one such request at each service, in milliseconds of places. */
	readonly footprint: ReadonlyMap<string, number>;
	/** Whether its caller has been refused before, or got no answer. */
	readonly isReturning: boolean;
};

/** What was lately asked for, older requests counting less, and what is left of the admitted share. */
type Asked = {
	first: number;
	returning: number;
	credit: number;
	decayedMs: number;
};

type Opts = {
	readonly clock: Clock;
	/** Share of the work wanted that a service can take. */
	readonly shareOf: (service: string) => number;
};

/** Time after which what was wanted counts half. */
const halfLifeMs = 1000;

/** Services of which a request takes less are not asked, in milliseconds of places. */
const leastWorkMs = 1;

/**
 * Decides at the entry which requests begin while services further down cannot take all that is
 * wanted of them. Shares are divided among ranks by what this entry was lately asked for, and dealt
 * out evenly within a rank, callers that return going before those that come for the first time. Answers the load pattern in which a burst of one kind of request starves
 * others at a service that all of them call.
 *
 * @example
 * if (!shares.admits({job, rank, footprint})) {
 * 	refuse();
 * }
 */
export class EntryShares {
	/** Creates shares for an entry that was asked for nothing yet. */
	static create(opts: Opts): EntryShares {
		return new EntryShares(opts);
	}

	/** Work lately wanted, by service and rank. */
	private readonly wanted = new Map<string, number[]>();
	private readonly asked = new Map<string, Asked>();
	private decayedMs: number;

	private constructor(private readonly opts: Opts) {
		this.decayedMs = opts.clock.monotonic();
	}

	/** Whether a request may begin, and the service that is short of room when it may not. */
	admits({job, rank, footprint, isReturning}: Request): {
		readonly isAdmitted: boolean;
		readonly by?: string;
	} {
		this.decay();
		let least = 1;
		let by: string | undefined;
		for (const [service, workMs] of footprint) {
			if (workMs < leastWorkMs) {
				continue;
			}

			const wanted = this.wanted.get(service) ?? [];
			while (wanted.length <= rank) {
				wanted.push(0);
			}

			wanted[rank]! += workMs;
			this.wanted.set(service, wanted);
			const share = this.opts.shareOf(service);
			if (share < 1) {
				const budget = share * wanted.reduce((sum, work) => sum + work, 0);
				const admitted = sharesByRank(wanted, budget)[rank]!;
				if (admitted < least) {
					least = admitted;
					by = service;
				}
			}
		}

		return this.deal(job, least, isReturning) ? {isAdmitted: true} : {isAdmitted: false, by};
	}

	/**
	 * Admits `share` of the requests of a job, spaced evenly. Returning callers are admitted whole while
	 * the share allows, since refusing them again wastes the time that they have waited.
	 */
	private deal(job: string, share: number, isReturning: boolean): boolean {
		const asked = this.noteAsked(job, isReturning);
		if (share >= 1) {
			asked.credit = 1;
			return true;
		}

		const all = asked.first + asked.returning;
		const forReturning = Math.min(1, (share * all) / Math.max(1, asked.returning));
		const forFirst =
			Math.max(0, share * all - asked.returning * forReturning) / Math.max(1, asked.first);
		asked.credit += isReturning ? forReturning : Math.min(1, forFirst);
		if (asked.credit < 1) {
			return false;
		}

		asked.credit -= 1;
		return true;
	}

	private noteAsked(job: string, isReturning: boolean): Asked {
		const nowMs = this.opts.clock.monotonic();
		const asked = this.asked.get(job) ?? {first: 0, returning: 0, credit: 1, decayedMs: nowMs};
		const kept = 0.5 ** ((nowMs - asked.decayedMs) / halfLifeMs);
		asked.first = asked.first * kept + (isReturning ? 0 : 1);
		asked.returning = asked.returning * kept + (isReturning ? 1 : 0);
		asked.decayedMs = nowMs;
		this.asked.set(job, asked);
		return asked;
	}

	private decay(): void {
		const nowMs = this.opts.clock.monotonic();
		const kept = 0.5 ** ((nowMs - this.decayedMs) / halfLifeMs);
		this.decayedMs = nowMs;
		for (const [service, wanted] of this.wanted) {
			this.wanted.set(
				service,
				wanted.map(work => work * kept),
			);
		}
	}
}
