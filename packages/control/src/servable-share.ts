type Window = {
	/** Work in the queue, in slot-milliseconds. */
	readonly waitingMs: number;
	/** Work that fits into one window, in slot-milliseconds. */
	readonly capacityMs: number;
	/** Expected wait of one more call for a slot, in milliseconds. */
	readonly waitMs: number;
};

/** Target utilization. The rest absorbs the variation of arrivals. */
const targetUtilization = 0.95;

/** Weight of one window in the smoothed arrivals. */
const arrivalSmoothingFactor = 0.25;

/** Windows within which queued work should be done. */
const drainWindows = 5;

/**
 * Windows between two changes. The effect of a change shows only after the requests admitted before
 * it have made their calls.
 */
const windowsPerStep = 3;
const maxStepDown = 0.6;

/**
 * Expected wait beyond which an upstream is overloaded. Below it, entry nodes send calls to
 * endpoints further away, so a wait that stays above it shows that none has spare capacity.
 */
const overloadWaitMs = 70;
const maxStepUp = 1.12;
const minShare = 0.05;

/**
 * The share of the work offered to an upstream that it can serve. It is published on answers, and
 * entry nodes refuse the rest before any work is done. This handles call graphs with fan-out: a
 * burst at the entry becomes a much larger one at a service further downstream, where refusing a
 * call wastes the work of its parents.
 *
 * @example
 * share.noteArrived(40);
 * share.closeWindow({waitingMs: 900, capacityMs: 2200, waitMs: 90});
 * share.value; // 1 while all offered work fits
 */
export class ServableShare {
	/** Creates the share of an upstream that serves all offered work. */
	static create(): ServableShare {
		return new ServableShare();
	}

	private share = 1;
	private windowArrivalsMs = 0;
	private arrivalsMs = 0;
	private windows = 0;

	private constructor() {}

	/** The share of the offered work that can be served, from a small floor to 1. */
	get value(): number {
		return this.share;
	}

	/** Records the arrival of a call with its expected hold time, in milliseconds. */
	noteArrived(holdMs: number): void {
		this.windowArrivalsMs += holdMs;
	}

	/** Ends a window and updates the share when a change is due. */
	closeWindow({waitingMs, capacityMs, waitMs}: Window): void {
		this.arrivalsMs += (this.windowArrivalsMs - this.arrivalsMs) * arrivalSmoothingFactor;
		this.windowArrivalsMs = 0;
		this.windows++;
		if (this.windows < windowsPerStep || capacityMs <= 0) {
			return;
		}

		this.windows = 0;
		const offeredMs = this.arrivalsMs + waitingMs / drainWindows;
		const load = offeredMs / (capacityMs * targetUtilization);
		const fittingStep = load > 0 ? 1 / load : maxStepUp;
		const maxStep = waitMs > overloadWaitMs ? 1 : maxStepUp;
		const minStep = waitMs > overloadWaitMs ? maxStepDown : 1;
		const step = Math.min(maxStep, Math.max(minStep, fittingStep));
		this.share = Math.min(1, Math.max(minShare, this.share * step));
	}
}
