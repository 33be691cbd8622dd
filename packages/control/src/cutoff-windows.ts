import {CutoffControl} from './cutoff-control.js';
import type {Cutoffs} from './cutoffs.js';
import {Interval} from './interval.js';

type Opts = {
	readonly floors: readonly number[];
	/** Whether ranks are cut off here; not where the entries are told what share to admit. */
	readonly isOn: boolean;
};

/** Wait beyond which a queue counts as standing, in times that a call holds its place. */
const standingCalls = 0.5;
const minStandingMs = 20;

/** Length of a window, in milliseconds. */
const windowMs = 100;

/** Most windows that the cutoffs stay as they are. */
const maxHeldWindows = 10;

/**
 * The cutoffs of an admission and what they are set from. They are set once in the time that a call
 * takes, since before that nothing shows of what they have changed.
 *
 * @example
 * windows.events.arrived(0);
 * windows.close({meanHoldMs: 80, isRamping: false});
 */
export class CutoffWindows {
	/** Creates cutoffs that admit everything. */
	static create(opts: Opts): CutoffWindows {
		return new CutoffWindows(opts);
	}

	private interval = Interval.create();
	private readonly control: CutoffControl;

	private constructor(private readonly opts: Opts) {
		this.control = CutoffControl.create(opts.floors);
	}

	/** The cutoffs in force. */
	get cutoffs(): Cutoffs {
		return this.control.cutoffs;
	}

	/** Where the admission notes what happens until the cutoffs are set next. */
	get events(): Interval {
		return this.interval;
	}

	/** Takes up the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		this.control.setFloors(floors);
	}

	/** Ends a window, and sets the cutoffs when they are due. */
	close({meanHoldMs, isRamping}: {meanHoldMs: number; isRamping: boolean}): void {
		const {interval, control} = this;
		interval.windows++;
		if (interval.windows < Math.min(maxHeldWindows, meanHoldMs / windowMs)) {
			return;
		}

		this.interval = Interval.create();
		if (!this.opts.isOn) {
			return;
		}

		// Until the limit is known, completions say nothing about the capacity.
		control.close({
			windows: interval.windows,
			arrivals: interval.arrivals,
			completions: interval.completions,
			isStanding:
				!isRamping && interval.isStanding(Math.max(minStandingMs, meanHoldMs * standingCalls)),
			shedRank: isRamping ? Number.POSITIVE_INFINITY : interval.shedRank,
		});
	}
}
