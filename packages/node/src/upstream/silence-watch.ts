import type {Clock} from '@medlarsaddle/core';
import type {InFlightCall} from './in-flight-call.js';
import type {Pool} from './pool.js';

type Watched = {
	readonly call: InFlightCall;
	readonly pool: Pool;
	/** Usual time of the job, when the call may be sent again. */
	readonly usualMs: number | undefined;
	/** Aborts when the caller gives up. */
	readonly signal: AbortSignal;
};

const slowFactor = 8;
const minPatienceMs = 300;
const overtakersForSilence = 3;
const maxEndedStarts = 32;

/**
 * Gives calls up at their deadline, and those that may be sent again as soon as their connection
 * seems silent rather than the upstream slow.
 *
 * @example
 * const {signal, stop} = silence.watch({call, pool, usualMs, signal: callerSignal});
 */
export class SilenceWatch {
	/** Creates a watch that has seen no call end. */
	static create(clock: Clock): SilenceWatch {
		return new SilenceWatch(clock);
	}

	/** When the calls that ended last had started, to see which calls were overtaken. */
	private readonly endedStarts: number[] = [];
	private lastEndMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/** Notes that a call got its answer. */
	noteEnded(call: InFlightCall): void {
		this.lastEndMs = this.clock.monotonic();
		this.endedStarts.push(call.startMs);
		if (this.endedStarts.length > maxEndedStarts) {
			this.endedStarts.shift();
		}
	}

	/** Watches a call until `stop`; the signal aborts when it should be given up. */
	watch({call, pool, usualMs, signal}: Watched): {readonly signal: AbortSignal; stop(): void} {
		const {clock} = this;
		const patienceMs =
			usualMs === undefined
				? call.request.remainingMs
				: Math.max(minPatienceMs, usualMs * slowFactor);
		const abort = new AbortController();
		let stopTimer = () => {};
		const giveUp = () => {
			abort.abort();
		};

		const wait = () => {
			const leftMs = call.deadlineMs - clock.monotonic();
			stopTimer = clock.after(Math.max(1, Math.min(patienceMs, leftMs)), () => {
				void check();
			});
		};

		const check = async () => {
			if (clock.monotonic() >= call.deadlineMs) {
				giveUp();
			} else if (call.ownMs >= patienceMs && (await this.seemsSilent(call, pool))) {
				pool.doubtAll();
				giveUp();
			} else {
				wait();
			}
		};

		wait();
		signal.addEventListener('abort', giveUp, {once: true});
		return {
			signal: abort.signal,
			stop() {
				stopTimer();
				signal.removeEventListener('abort', giveUp);
			},
		};
	}

	/** Later calls have overtaken it, or none ends although the upstream answers on a new connection. */
	private async seemsSilent(call: InFlightCall, pool: Pool): Promise<boolean> {
		const later = this.endedStarts.filter(startMs => startMs > call.startMs).length;
		const hasEnded = this.lastEndMs > call.startMs;
		if (later >= overtakersForSilence) {
			return true;
		}

		return hasEnded ? false : pool.isAnswering();
	}
}
