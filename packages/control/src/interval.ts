/**
 * What happened at an admission since its cutoffs were last set.
 *
 * @example
 * interval.arrived(0);
 * interval.waited(12);
 */
export class Interval {
	/** Creates an interval in which nothing has happened yet. */
	static create(): Interval {
		return new Interval();
	}

	/** Calls that passed the cutoffs, by rank. */
	readonly arrivals: number[] = [];
	/** Calls that completed. */
	completions = 0;
	/** Windows that have ended. */
	windows = 0;
	/** Most urgent rank of a call that was shed from the queue; infinite when none was. */
	shedRank = Number.POSITIVE_INFINITY;
	private leastWaitMs = Number.POSITIVE_INFINITY;

	private constructor() {}

	/** Notes a call that passed the cutoffs. */
	arrived(rank: number): void {
		this.arrivals[rank] = (this.arrivals[rank] ?? 0) + 1;
	}

	/** Notes a call that was shed from the queue. */
	shed(rank: number): void {
		this.shedRank = Math.min(this.shedRank, rank);
	}

	/** Notes how long a call waited that got a permit. */
	waited(ms: number): void {
		this.leastWaitMs = Math.min(this.leastWaitMs, ms);
	}

	/** Whether not one of the calls that got a permit did so within `ms`. */
	isStanding(ms: number): boolean {
		return this.leastWaitMs > ms && this.leastWaitMs < Number.POSITIVE_INFINITY;
	}
}
