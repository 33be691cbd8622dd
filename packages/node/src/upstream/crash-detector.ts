import {type Clock, type Log, events} from '@medlarsaddle/core';
import type {Quarantine} from '@medlarsaddle/control';
import type {CallRequest} from '@medlarsaddle/wire';
import {fingerprintOf} from './fingerprint-of.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly node: string;
	readonly quarantine: Quarantine;
	/** Whether the upstream answers on a new connection. */
	readonly isAnswering: () => Promise<boolean>;
	/** Called after a crash with the suspects that other nodes have to learn of. */
	readonly onSuspects: (suspects: ReturnType<Quarantine['noteCrash']>) => void;
};

type LostCall = {
	readonly fingerprint: string;
	readonly service: string;
	readonly job: string;
	readonly atMs: number;
};

/** Maximum time between the loss of a call and the detection of the crash that caused it. */
const maxLostAgeMs = 3000;

/**
 * Collects the calls that were lost when the upstream closed their connections, and detects whether
 * the upstream crashed.
 *
 * @example
 * crashDetector.noteLost(request);
 */
export class CrashDetector {
	/** Creates a detector with no crash recorded. */
	static create(opts: Opts): CrashDetector {
		return new CrashDetector(opts);
	}

	private crashCount = 0;
	private lostCalls: LostCall[] = [];
	private isChecking = false;

	private constructor(private readonly opts: Opts) {}

	/** Records a call whose connection was closed by the upstream. */
	noteLost(request: CallRequest): void {
		const {service, job} = request;
		const atMs = this.opts.clock.monotonic();
		this.lostCalls = this.recentlyLost(atMs);
		this.lostCalls.push({fingerprint: fingerprintOf(request), service, job, atMs});
		if (!this.isChecking) {
			this.isChecking = true;
			void this.check();
		}
	}

	/** Records a crash of the upstream. Recently lost calls were in flight when it crashed. */
	noteCrash(): void {
		const {clock, log, node, quarantine, onSuspects} = this.opts;
		const lost = this.recentlyLost(clock.monotonic());
		this.lostCalls = [];
		if (lost.length === 0) {
			return;
		}

		this.crashCount++;
		const crashId = `${node}:${Math.floor(clock.now())}:${this.crashCount}`;
		log(events.upstreamCrashed, {inFlight: lost.length, crashId});
		onSuspects(quarantine.noteCrash(crashId, lost));
	}

	private recentlyLost(nowMs: number): LostCall[] {
		return this.lostCalls.filter(({atMs}) => atMs > nowMs - maxLostAgeMs);
	}

	private async check(): Promise<void> {
		// If the upstream has already restarted, the crash is detected by its new instance ID.
		const isUp = await this.opts.isAnswering();
		this.isChecking = false;
		if (!isUp) {
			this.noteCrash();
		}
	}
}
