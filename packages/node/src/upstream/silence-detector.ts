import type {Clock} from '@medlarsaddle/core';
import {CallEnded, endReasons} from '@medlarsaddle/wire';
import type {InFlightCall} from './in-flight-call.js';
import type {ConnectionPool} from './connection-pool.js';

type EndReason = (typeof endReasons)[keyof typeof endReasons];

type Watched = {
	readonly call: InFlightCall;
	readonly pool: ConnectionPool;
	/** Baseline duration of the job; undefined when the call may not be retried. */
	readonly baselineMs: number | undefined;
	/** Aborts when the caller cancels the call. */
	readonly signal: AbortSignal;
	/** Aborts the call. */
	readonly abort: () => void;
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
 * Aborts calls when their caller leaves and at their deadline, and retryable calls earlier, once their connection appears to be
 * silent and the upstream is not merely slow.
 *
 * @example
 * const watch = silenceDetector.watch({call, pool, baselineMs, signal, abort});
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
	watch({call, pool, baselineMs, signal, abort}: Watched): {
		/** Why the call was aborted; undefined when it was not. */
		readonly endReason: () => EndReason | undefined;
		readonly stop: () => void;
	} {
		const {clock} = this;
		const silenceTimeoutMs =
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

			const isSilent = call.ownMs >= silenceTimeoutMs && (await this.isSilent(call, pool));
			// The call may have ended meanwhile, and its connection may carry another one.
			if (isStopped) {
				return;
			}

			if (isSilent) {
				pool.requireProbes();
				abortCall(endReasons.silence);
			} else {
				scheduleCheck();
			}
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

	/**
	 * Whether later calls have overtaken a call, or no call has ended since it started although the
	 * upstream answers on a new connection.
	 */
	private async isSilent(call: InFlightCall, pool: ConnectionPool): Promise<boolean> {
		const overtaking = this.recentStartsMs.filter(startMs => startMs > call.startMs).length;
		const hasLaterEnd = this.lastEndMs > call.startMs;
		if (overtaking >= minOvertakingCalls) {
			return true;
		}

		return hasLaterEnd ? false : pool.isAnswering();
	}
}
