import {CutoffController} from './cutoff-controller.js';
import type {Cutoffs} from './cutoffs.js';
import {AdmissionInterval} from './admission-interval.js';

type Opts = {
	readonly floors: readonly number[];
	/** Whether cutoffs are set here; false where entry nodes admit a published share instead. */
	readonly isEnabled: boolean;
};

/** Wait beyond which a queue counts as standing, as a multiple of the mean hold time. */
const standingWaitFactor = 0.5;
const minStandingWaitMs = 20;

/** Length of a control window. */
const windowMs = 100;

/** Maximum length of an interval, in windows. */
const maxIntervalWindows = 10;

/**
 * The cutoffs of an admission and the counts from which they are set. They are set once in each
 * mean hold time, since the effect of a change does not show earlier.
 *
 * @example
 * cutoffs.currentInterval.noteArrived(0);
 * cutoffs.close({meanHoldMs: 80, isRamping: false});
 */
export class AdmissionCutoffs {
	/** Creates cutoffs that admit every call. */
	static create(opts: Opts): AdmissionCutoffs {
		return new AdmissionCutoffs(opts);
	}

	private interval = AdmissionInterval.create();
	private readonly controller: CutoffController;

	private constructor(private readonly opts: Opts) {
		this.controller = CutoffController.create(opts.floors);
	}

	/** The cutoffs in force. */
	get cutoffs(): Cutoffs {
		return this.controller.cutoffs;
	}

	/** Counts since the cutoffs were last set; the admission updates them. */
	get currentInterval(): AdmissionInterval {
		return this.interval;
	}

	/** Applies the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		this.controller.setFloors(floors);
	}

	/** Ends a control window, and sets the cutoffs when they are due. */
	close({meanHoldMs, isRamping}: {meanHoldMs: number; isRamping: boolean}): void {
		const {interval, controller} = this;
		interval.windows++;
		if (interval.windows < Math.min(maxIntervalWindows, meanHoldMs / windowMs)) {
			return;
		}

		this.interval = AdmissionInterval.create();
		if (!this.opts.isEnabled) {
			return;
		}

		// While the limit is ramping up, completions do not reflect the capacity.
		controller.close({
			windows: interval.windows,
			arrivals: interval.arrivals,
			completions: interval.completions,
			isStanding:
				!isRamping &&
				interval.isStanding(Math.max(minStandingWaitMs, meanHoldMs * standingWaitFactor)),
			shedRank: isRamping ? Number.POSITIVE_INFINITY : interval.shedRank,
		});
	}
}
