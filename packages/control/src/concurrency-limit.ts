import {Baselines} from './baselines.js';

type Opts = {
	/** Slots that the upstream reports; a hint for the first limit only. */
	readonly slotsHint: number;
	readonly maxLimit: number;
};

const coldStartShare = 0.5;
const minLimit = 1;
const minFirstLimit = 4;

/** The hint may be wrong by any factor; doubling soon makes up for a first limit that is too low. */
const maxFirstLimit = 16;
const tolerance = 1.25;
const smoothing = 0.5;
const startFactor = 2;

/** Share of the square root of the limit that it may exceed what latency calls for. */
const headroom = 0.25;

/** Share of the limit that has to have been in use for it to change. */
const usedShare = 0.8;
const minGradient = 0.5;

/** How far the limit shrinks before it is judged whether that helped. */
const trialShrink = 0.6;
const averageGain = 0.2;

/** Length of a window, in milliseconds. */
const windowMs = 100;

/** A window this near to the baseline confirms it. */
const confirmingSlowdown = 1.1;

/** Least windows without a confirmation after which a busy upstream is probed at half of the limit. */
const probeAfterWindows = 100;

/** The same in times that a call takes, so that probes cost little of the capacity. */
const probeAfterCalls = 100;

/** A baseline that falls this much at once tells that a slower spell of the upstream is over. */
const fasterFactor = 1.3;

/**
 * Finds how many calls an upstream runs at once without queueing, from latency. Latency is compared
 * with the lowest window average of the same job, so that jobs of different length can share an
 * upstream. Windows are 100 ms long; after a change the limit waits for as long as a call takes, so
 * that it judges what it has caused. A new limit doubles each time until latency first rises. From
 * then on it grows by a share of its square root while latency stays near the baseline, and shrinks in
 * proportion when it rises; it moves only while it is in use. When shrinking does not bring latency
 * down, the upstream itself has become slower, and what it shows now is the new baseline. When it then
 * becomes faster again, the limit is halved until latency falls no further, since a baseline that was
 * seen in a queue is too high. A busy upstream whose baseline no window has come near for long is
 * probed in the same way. The limit stays between 1 and the connection limit.
 *
 * @example
 * limit.sample('PAY', {ownMs: 12, heldMs: 40});
 * limit.closeWindow(maxInFlight);
 */
export class ConcurrencyLimit {
	/** Creates a limit that starts low, since a new upstream may be cold. */
	static create({slotsHint, maxLimit}: Opts): ConcurrencyLimit {
		const most = Math.max(minLimit, maxLimit);
		const hinted = Math.ceil(slotsHint * coldStartShare);
		const first = Math.min(maxFirstLimit, Math.max(minFirstLimit, hinted));
		return new ConcurrencyLimit(Math.min(first, most), most);
	}

	private isStarting = true;
	private trial: {readonly limit: number; readonly slowdown: number} | undefined;
	private heldMs = 0;
	/** Windows until the last change of the limit shows in latencies. */
	private hold = 0;
	private isRebased = false;
	private unconfirmedWindows = 0;
	/** The limit to go back to after a probe. */
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

	/** Whether the limit has not met the capacity of the upstream yet. */
	get isRamping(): boolean {
		return this.isStarting;
	}

	/** The usual latency of a job at low load, in milliseconds; undefined when it is not known. */
	baselineOf(job: string): number | undefined {
		return this.baselines.of(job);
	}

	/**
	 * Takes in the upstream's own time on one call, downstream calls left out, and how long the call
	 * held its place in all.
	 */
	sample(job: string, {ownMs, heldMs}: {readonly ownMs: number; readonly heldMs: number}): void {
		this.baselines.sample(job, ownMs);
		this.heldMs = this.heldMs === 0 ? heldMs : this.heldMs + (heldMs - this.heldMs) * averageGain;
	}

	/** Ends a window in which at most `peakInFlight` calls ran at once. */
	closeWindow(peakInFlight: number): void {
		this.unconfirmedWindows++;
		if (this.hold > 0) {
			// Calls that end now were started under an earlier limit.
			this.hold--;
			this.baselines.clear();
			return;
		}

		const compared = this.baselines.compare();
		if (!compared) {
			return;
		}

		const {slowdown, fastest} = compared;
		this.hold = Math.floor(this.heldMs / windowMs);

		if (this.limitBeforeProbe !== undefined) {
			this.judgeProbe(compared, this.limitBeforeProbe);
			return;
		}

		if (slowdown < confirmingSlowdown) {
			this.unconfirmedWindows = 0;
		}

		// An upstream that is not in full use says nothing about how much it could run, and what makes
		// it slow is not the limit.
		if (peakInFlight < this.limit * usedShare) {
			this.trial = undefined;
			return;
		}

		const gradient = Math.max(minGradient, Math.min(1, tolerance / slowdown));
		this.judgeTrial(slowdown, gradient);
		if (this.isRebased && fastest > fasterFactor) {
			this.halve();
			return;
		}

		if (this.isProbeDue) {
			this.limitBeforeProbe = this.limit;
			this.halve();
			return;
		}

		const wanted = this.limit * gradient + Math.sqrt(this.limit) * headroom;
		this.isStarting &&= gradient === 1 && this.limit < this.maxLimit;
		const next = this.isStarting
			? this.limit * startFactor
			: this.limit + (wanted - this.limit) * smoothing;
		this.limit = Math.min(this.maxLimit, Math.max(minLimit, next));
	}

	private get isProbeDue(): boolean {
		const callWindows = this.heldMs / windowMs;
		return this.unconfirmedWindows >= Math.max(probeAfterWindows, callWindows * probeAfterCalls);
	}

	/** Goes on while latency falls with the limit; what it ends at is the baseline. */
	private judgeProbe(
		{slowdown, fastest}: {readonly slowdown: number; readonly fastest: number},
		limitBefore: number,
	): void {
		const before = this.limit;
		if (fastest > confirmingSlowdown) {
			this.halve();
		}

		if (this.limit === before) {
			this.baselines.rebase(slowdown);
			this.limit = limitBefore;
			this.limitBeforeProbe = undefined;
			this.unconfirmedWindows = 0;
		}
	}

	private halve(): void {
		this.limit = Math.max(Math.min(minFirstLimit, this.limit), this.limit / 2);
	}

	/** Rebases the jobs when a smaller limit has not made the upstream faster. */
	private judgeTrial(slowdown: number, gradient: number): void {
		if (gradient === 1) {
			this.trial = undefined;
			return;
		}

		this.trial ??= {limit: this.limit, slowdown};
		const share = this.limit / this.trial.limit;
		if (share > trialShrink && this.limit > minLimit) {
			return;
		}

		// In a queue the slowdown falls as the limit does; of a slower upstream it stays. The border is
		// halfway between the two, as ratios go.
		if (slowdown >= this.trial.slowdown * Math.sqrt(share)) {
			this.baselines.rebase(slowdown);
			this.isRebased = true;
			this.trial = undefined;
		}
	}
}
