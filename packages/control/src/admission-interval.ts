/**
 * Counts of the events at an admission since its cutoffs were last set.
 *
 * @example
 * interval.noteArrived(0);
 * interval.noteWait(12);
 */
export class AdmissionInterval {
	/** Creates an interval without events. */
	static create(): AdmissionInterval {
		return new AdmissionInterval();
	}

	/** Calls that passed the cutoffs, by rank. */
	readonly arrivals: number[] = [];
	/** Calls that completed. */
	completions = 0;
	/** Windows that have ended. */
	windows = 0;
	/** Most urgent rank of a call shed from the queue; infinite when none was. */
	shedRank = Number.POSITIVE_INFINITY;
	private minWaitMs = Number.POSITIVE_INFINITY;

	private constructor() {}

	/** Records a call that passed the cutoffs. */
	noteArrived(rank: number): void {
		this.arrivals[rank] = (this.arrivals[rank] ?? 0) + 1;
	}

	/** Records a call that was shed from the queue. */
	noteShed(rank: number): void {
		this.shedRank = Math.min(this.shedRank, rank);
	}

	/** Records how long a call waited for its permit. */
	noteWait(ms: number): void {
		this.minWaitMs = Math.min(this.minWaitMs, ms);
	}

	/** Whether permits were granted, all of them after a wait of more than `ms`. */
	isStanding(ms: number): boolean {
		return this.minWaitMs > ms && this.minWaitMs < Number.POSITIVE_INFINITY;
	}
}
