import {Baselines} from './baselines.js';

type Opts = {
	/** Slots that the upstream reports; used as a hint for the first limit only. */
	readonly slotsHint: number;
	readonly maxLimit: number;
};

const coldStartShare = 0.5;
const minLimit = 1;
const minFirstLimit = 4;

/**
 * Upper bound for the first limit, since the hint may be wrong by any factor; doubling soon
 * corrects a first limit that is too low.
 */
const maxFirstLimit = 16;
const toleratedSlowdown = 1.25;
const limitSmoothingFactor = 0.5;
const rampFactor = 2;

/** Growth of the limit beyond what latency allows, as a share of its square root. */
const headroomShare = 0.25;

/** Share of the limit that must be in use for the limit to change. */
const minUtilization = 0.8;
const minGradient = 0.5;

/** Share of its starting value to which the limit shrinks before a trial is evaluated. */
const trialLimitShare = 0.6;
const holdSmoothingFactor = 0.2;

/** Length of a window, in milliseconds. */
const windowMs = 100;

/** A window with a slowdown below this confirms the baseline. */
const maxConfirmingSlowdown = 1.1;

/**
 * A busy upstream is probed at half the limit after at least this many windows without
 * confirmation.
 */
const probeAfterWindows = 100;

/** The same as a multiple of the hold time, so that probes cost little capacity. */
const probeAfterHoldTimes = 100;

/**
 * A job that becomes this many times faster at once shows that a slow phase of the upstream has
 * ended.
 */
const minRecoverySpeedup = 1.3;

/**
 * Estimates from latency how many calls an upstream can run at once without queueing. Latency is
 * compared with a baseline of the same job, its lowest window average, so that jobs of different
 * length can share an upstream. Windows are 100 ms long; after a change the limit is left alone for
 * the hold time of a call, so that the next window measures the effect of the change.
 *
 * The limit of a new upstream doubles until latency first rises. From then on it grows by a share
 * of its square root while latency stays near the baseline, and shrinks in proportion when latency
 * rises; it changes only while it is in use. When shrinking does not lower latency, the upstream
 * itself has become slower, and its current latency becomes the baseline. When it then becomes
 * faster again, the limit is halved until latency falls no further, since a baseline measured with
 * a queue is too high. A busy upstream is probed in the same way when no window has come near its
 * baseline for long. The limit stays between 1 and the connection limit.
 *
 * @example
 * limit.sample('PAY', {ownMs: 12, heldMs: 40});
 * limit.closeWindow(maxInFlight);
 */
export class ConcurrencyLimit {
	/** Creates a limit that starts low, since a new upstream may need to warm up. */
	static create({slotsHint, maxLimit}: Opts): ConcurrencyLimit {
		const maxValue = Math.max(minLimit, maxLimit);
		const hinted = Math.ceil(slotsHint * coldStartShare);
		const first = Math.min(maxFirstLimit, Math.max(minFirstLimit, hinted));
		return new ConcurrencyLimit(Math.min(first, maxValue), maxValue);
	}

	private isInRampUp = true;
	private trial: {readonly limit: number; readonly slowdown: number} | undefined;
	private meanHoldMs = 0;
	/** Windows to skip until the last change of the limit shows in latencies. */
	private windowsToSkip = 0;
	private hasRebased = false;
	private unconfirmedWindows = 0;
	/** The limit to restore after a probe. */
	private limitBeforeProbe: number | undefined;
	private readonly baselines = Baselines.create();

	private constructor(
		private limit: number,
		private readonly maxLimit: number,
	) {}

	/** The limit in force, a whole number. */
	get value(): number {
		return Math.floor(this.limit);
	}

	/** Whether the limit is still ramping up and has not reached the capacity of the upstream yet. */
	get isRamping(): boolean {
		return this.isInRampUp;
	}

	/** The baseline latency of a job at low load, in milliseconds; undefined when it is unknown. */
	baselineOf(job: string): number | undefined {
		return this.baselines.of(job);
	}

	/**
	 * Records a call: the upstream's own time on it, without downstream calls, and its whole hold
	 * time.
	 */
	sample(job: string, {ownMs, heldMs}: {readonly ownMs: number; readonly heldMs: number}): void {
		this.baselines.sample(job, ownMs);
		this.meanHoldMs =
			this.meanHoldMs === 0
				? heldMs
				: this.meanHoldMs + (heldMs - this.meanHoldMs) * holdSmoothingFactor;
	}

	/** Ends a window in which at most `peakInFlight` calls ran at once. */
	closeWindow(peakInFlight: number): void {
		this.unconfirmedWindows++;
		if (this.windowsToSkip > 0) {
			// Calls that end now were started under the previous limit.
			this.windowsToSkip--;
			this.baselines.clear();
			return;
		}

		const comparison = this.baselines.compare();
		if (!comparison) {
			return;
		}

		const {slowdown, maxSpeedup} = comparison;
		this.windowsToSkip = Math.floor(this.meanHoldMs / windowMs);

		if (this.limitBeforeProbe !== undefined) {
			this.continueProbe(comparison, this.limitBeforeProbe);
			return;
		}

		if (slowdown < maxConfirmingSlowdown) {
			this.unconfirmedWindows = 0;
		}

		// An upstream that is not fully used gives no evidence of its capacity, and if it is slow, the
		// limit is not the cause.
		if (peakInFlight < this.limit * minUtilization) {
			this.trial = undefined;
			return;
		}

		const gradient = Math.max(minGradient, Math.min(1, toleratedSlowdown / slowdown));
		this.evaluateTrial(slowdown, gradient);
		if (this.hasRebased && maxSpeedup > minRecoverySpeedup) {
			this.halve();
			return;
		}

		if (this.isProbeDue) {
			this.limitBeforeProbe = this.limit;
			this.halve();
			return;
		}

		const target = this.limit * gradient + Math.sqrt(this.limit) * headroomShare;
		this.isInRampUp &&= gradient === 1 && this.limit < this.maxLimit;
		const next = this.isInRampUp
			? this.limit * rampFactor
			: this.limit + (target - this.limit) * limitSmoothingFactor;
		this.limit = Math.min(this.maxLimit, Math.max(minLimit, next));
	}

	private get isProbeDue(): boolean {
		const holdWindows = this.meanHoldMs / windowMs;
		return (
			this.unconfirmedWindows >= Math.max(probeAfterWindows, holdWindows * probeAfterHoldTimes)
		);
	}

	/**
	 * Continues a probe while latency falls with the limit; the latency at its end is the baseline.
	 */
	private continueProbe(
		{slowdown, maxSpeedup}: {readonly slowdown: number; readonly maxSpeedup: number},
		limitBeforeProbe: number,
	): void {
		const previousLimit = this.limit;
		if (maxSpeedup > maxConfirmingSlowdown) {
			this.halve();
		}

		if (this.limit === previousLimit) {
			this.baselines.rebase(slowdown);
			this.limit = limitBeforeProbe;
			this.limitBeforeProbe = undefined;
			this.unconfirmedWindows = 0;
		}
	}

	private halve(): void {
		this.limit = Math.max(Math.min(minFirstLimit, this.limit), this.limit / 2);
	}

	/** Raises the baselines when a smaller limit has not made the upstream faster. */
	private evaluateTrial(slowdown: number, gradient: number): void {
		if (gradient === 1) {
			this.trial = undefined;
			return;
		}

		this.trial ??= {limit: this.limit, slowdown};
		const share = this.limit / this.trial.limit;
		if (share > trialLimitShare && this.limit > minLimit) {
			return;
		}

		// If calls queue, the slowdown falls in proportion to the limit; if the upstream is slower, it
		// stays. The threshold is the geometric mean of the two.
		if (slowdown >= this.trial.slowdown * Math.sqrt(share)) {
			this.baselines.rebase(slowdown);
			this.hasRebased = true;
			this.trial = undefined;
		}
	}
}
