type Window = {
	/** Work that waits for a place, in milliseconds of places. */
	readonly waitingMs: number;
	/** Work that the places of one window hold, in milliseconds of places. */
	readonly capacityMs: number;
	/** Time that one more call would wait for a place, in milliseconds. */
	readonly waitMs: number;
};

/** Utilization that is aimed at. The rest absorbs the variation of arrivals. */
const targetShare = 0.95;

/** Windows over which arrivals are smoothed, as the gain of their average. */
const arrivalGain = 0.25;

/** Windows in which work that waits is to be done. */
const drainWindows = 5;

/**
 * Windows between two changes. What a change does shows once the requests admitted before it have
 * made their calls.
 */
const windowsPerStep = 3;
const maxStepDown = 0.6;

/**
 * Wait beyond which an upstream is pressed, in milliseconds. Below it entries send calls to endpoints
 * further away, so a wait that stays beyond it shows that none of them has room.
 */
const pressedMs = 70;
const maxStepUp = 1.12;
const leastShare = 0.05;

/**
 * The share of the work wanted from an upstream that it can take. It is published on answers, and the
 * nodes at which requests begin refuse the rest before any work is done. Answers the load pattern in
 * which calls multiply downwards: a burst at the entry becomes a much larger one at a service further
 * down, where refusing a call wastes what its parents have done.
 *
 * @example
 * share.arrived(40);
 * share.closeWindow({waitingMs: 900, capacityMs: 2200, waitMs: 90});
 * share.value; // 1 while everything fits
 */
export class WorkShare {
	/** Creates the share of an upstream that takes everything. */
	static create(): WorkShare {
		return new WorkShare();
	}

	private share = 1;
	private windowMs = 0;
	private arrivalsMs = 0;
	private windows = 0;

	private constructor() {}

	/** The share of the work wanted that can be taken, from a small floor to 1. */
	get value(): number {
		return this.share;
	}

	/** Notes a call that arrived and how long it will hold a place, in milliseconds. */
	arrived(holdMs: number): void {
		this.windowMs += holdMs;
	}

	/** Ends a window. */
	closeWindow({waitingMs, capacityMs, waitMs}: Window): void {
		this.arrivalsMs += (this.windowMs - this.arrivalsMs) * arrivalGain;
		this.windowMs = 0;
		this.windows++;
		if (this.windows < windowsPerStep || capacityMs <= 0) {
			return;
		}

		this.windows = 0;
		const wantedMs = this.arrivalsMs + waitingMs / drainWindows;
		const load = wantedMs / (capacityMs * targetShare);
		const fitting = load > 0 ? 1 / load : maxStepUp;
		const most = waitMs > pressedMs ? 1 : maxStepUp;
		const least = waitMs > pressedMs ? maxStepDown : 1;
		const step = Math.min(most, Math.max(least, fitting));
		this.share = Math.min(1, Math.max(leastShare, this.share * step));
	}
}
