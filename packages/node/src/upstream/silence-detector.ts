import type {Clock} from '@medlarsaddle/core';
import {CallEnded, endReasons} from '@medlarsaddle/wire';
import type {ConnectionPool} from './connection-pool.js';
import type {InFlightCall} from './in-flight-call.js';
import {stallSigns} from './stall-signs.js';

type EndReason = (typeof endReasons)[keyof typeof endReasons];
type StallSign = (typeof stallSigns)[keyof typeof stallSigns];

type Watched = {
	readonly call: InFlightCall;
	readonly pool: ConnectionPool;
	/** Baseline duration of the job; undefined when the call may not be retried. */
	readonly baselineMs: number | undefined;
	/** Aborts when the caller cancels the call. */
	readonly signal: AbortSignal;
	/** Aborts the call. */
	readonly abort: () => void;
	/** Called once, when the connection of the call may be silent. The call goes on. */
	readonly onStalled: (sign: StallSign) => void;
};

const silenceTimeoutFactor = 8;
const minSilenceTimeoutMs = 300;
/**
 * Time after its deadline in which a call may still be answered. An upstream stops work at the
 * deadline and says so; without this time that answer is lost, and with it the connection.
 */
const answerGraceMs = 50;

const minOvertakingCalls = 3;
const maxRecentStarts = 32;

/**
 * Aborts calls when their caller leaves and at their deadline, and reports retryable calls whose
 * connection may be silent. An upstream whose calls wait for a slow service looks the same, so that
 * is no reason to end a call.
 *
 * @example
 * const watch = silenceDetector.watch({call, pool, baselineMs, signal, abort, onStalled});
 * watch.stop();
 */
export class SilenceDetector {
	/** Creates a detector with no ended calls recorded. */
	static create(clock: Clock): SilenceDetector {
		return new SilenceDetector(clock);
	}

	/** Start times of the calls that ended most recently, to detect calls that were overtaken. */
	private readonly recentStartsMs: number[] = [];
	private lastEndMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/** Records that a call got its answer. */
	noteEnded(call: InFlightCall): void {
		this.lastEndMs = this.clock.monotonic();
		this.recentStartsMs.push(call.startMs);
		if (this.recentStartsMs.length > maxRecentStarts) {
			this.recentStartsMs.shift();
		}
	}

	/** Watches a call until `stop` is called. */
	watch({call, pool, baselineMs, signal, abort, onStalled}: Watched): {
		/** Why the call was aborted; undefined when it was not. */
		readonly endReason: () => EndReason | undefined;
		readonly stop: () => void;
	} {
		const {clock} = this;
		let silenceTimeoutMs =
			baselineMs === undefined
				? Number.POSITIVE_INFINITY
				: Math.max(minSilenceTimeoutMs, baselineMs * silenceTimeoutFactor);
		let endReason: EndReason | undefined;
		let stopTimer = () => {};
		let isStopped = false;
		const abortCall = (reason: EndReason) => {
			endReason ??= reason;
			abort();
		};

		const onCallerLeft = () => {
			abortCall(CallEnded.reasonOf(signal));
		};

		const scheduleCheck = () => {
			const leftMs = call.deadlineMs + answerGraceMs - clock.monotonic();
			stopTimer = clock.after(Math.max(1, Math.min(silenceTimeoutMs, leftMs)), () => {
				void check();
			});
		};

		const check = async () => {
			if (clock.monotonic() >= call.deadlineMs + answerGraceMs) {
				abortCall(endReasons.deadline);
				return;
			}

			if (call.ownMs >= silenceTimeoutMs) {
				const sign = await this.signOfSilence(call, pool);
				// The call may have ended meanwhile, and its connection may carry another one.
				if (isStopped) {
					return;
				}

				if (sign !== undefined) {
					silenceTimeoutMs = Number.POSITIVE_INFINITY;
					pool.requireProbes();
					onStalled(sign);
				}
			}

			scheduleCheck();
		};

		scheduleCheck();
		signal.addEventListener('abort', onCallerLeft, {once: true});
		if (signal.aborted) {
			onCallerLeft();
		}

		return {
			endReason: () => endReason,
			stop() {
				isStopped = true;
				stopTimer();
				signal.removeEventListener('abort', onCallerLeft);
			},
		};
	}

	/** What may show that the connection of a call is silent; undefined when nothing does. */
	private async signOfSilence(
		call: InFlightCall,
		pool: ConnectionPool,
	): Promise<StallSign | undefined> {
		if (pool.isRetired) {
			return stallSigns.withdrawn;
		}

		const overtaking = this.recentStartsMs.filter(startMs => startMs > call.startMs).length;
		if (overtaking >= minOvertakingCalls) {
			return stallSigns.overtaken;
		}

		const hasLaterEnd = this.lastEndMs > call.startMs;
		return !hasLaterEnd && (await pool.isAnswering()) ? stallSigns.unanswered : undefined;
	}
}
