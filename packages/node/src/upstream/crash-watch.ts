import {type Clock, type Log, events} from '@medlarsaddle/core';
import type {Quarantine} from '@medlarsaddle/control';
import type {CallRequest} from '@medlarsaddle/wire';
import {fingerprint} from './fingerprint.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly node: string;
	readonly quarantine: Quarantine;
	/** Whether the upstream answers on a new connection. */
	readonly isAnswering: () => Promise<boolean>;
	/** Called with suspects to be spread after a crash. */
	readonly onSuspects: (suspects: ReturnType<Quarantine['noteCrash']>) => void;
};

type Lost = {
	readonly fingerprint: string;
	readonly service: string;
	readonly job: string;
	readonly atMs: number;
};

/** How long a lost call may be older than the crash that took it. */
const lostForMs = 3000;

/**
 * Collects calls that closed connections took along, and finds out whether the upstream crashed.
 *
 * @example
 * crashes.noteLost(request);
 */
export class CrashWatch {
	/** Creates a watch that has seen no crash. */
	static create(opts: Opts): CrashWatch {
		return new CrashWatch(opts);
	}

	private count = 0;
	private lost: Lost[] = [];
	private isChecking = false;

	private constructor(private readonly opts: Opts) {}

	/** Notes a call whose connection the upstream closed. */
	noteLost(request: CallRequest): void {
		const {service, job} = request;
		const atMs = this.opts.clock.monotonic();
		this.lost = this.recent(atMs);
		this.lost.push({fingerprint: fingerprint(request), service, job, atMs});
		if (!this.isChecking) {
			this.isChecking = true;
			void this.check();
		}
	}

	/** Notes that the upstream crashed; whatever was lost just now was in flight then. */
	crashed(): void {
		const {clock, log, node, quarantine, onSuspects} = this.opts;
		const lost = this.recent(clock.monotonic());
		this.lost = [];
		if (lost.length === 0) {
			return;
		}

		this.count++;
		const crashId = `${node}:${Math.floor(clock.now())}:${this.count}`;
		log(events.upstreamCrashed, {inFlight: lost.length, crashId});
		onSuspects(quarantine.noteCrash(crashId, lost));
	}

	private recent(nowMs: number): Lost[] {
		return this.lost.filter(({atMs}) => atMs > nowMs - lostForMs);
	}

	private async check(): Promise<void> {
		// An upstream that is up again already tells of the crash by its new instance.
		const isUp = await this.opts.isAnswering();
		this.isChecking = false;
		if (!isUp) {
			this.crashed();
		}
	}
}
