import {type Clock, Fault, faultKinds} from '@medlarsaddle/core';

type Opts = {
	readonly clock: Clock;
	/** A process that was not scheduled for this long has to rejoin before it acts. */
	readonly leaseMs: number;
};

/**
 * Whether the node takes new work: none while it leaves; after it was paused, work waits until it has
 * rejoined. The pause is noticed by whatever asks first.
 *
 * @example
 * const fault = lifecycle.closedBy();
 */
export class Lifecycle {
	/** Creates the state of a node that has just started. */
	static create(opts: Opts): Lifecycle {
		return new Lifecycle(opts);
	}

	private readonly calls = new Set<Promise<void>>();
	private beatMs: number;
	private hasNotice = false;
	private isLeaving = false;
	private hasLapsed = false;
	private readonly waiting = new Set<() => void>();

	private constructor(private readonly opts: Opts) {
		this.beatMs = opts.clock.monotonic();
	}

	/** Calls from callers and from the upstream that are being handled. */
	get openCalls(): number {
		return this.calls.size;
	}

	/** Whether the node is leaving. */
	get leaving(): boolean {
		return this.isLeaving;
	}

	/** Whether the process was paused and has not rejoined since. */
	get lapsed(): boolean {
		this.checkLease();
		return this.hasLapsed;
	}

	/** Whether callers should choose this node. */
	get isReady(): boolean {
		return !this.hasNotice && !this.isLeaving && !this.lapsed;
	}

	/** Stops being ready while work is still taken, so that callers can turn to other nodes. */
	giveNotice(): void {
		this.hasNotice = true;
	}

	/** Why no new work is taken; undefined when it is. */
	closedBy(): Fault | undefined {
		return this.isLeaving ? leaving : undefined;
	}

	/** Notes that the process is being scheduled. */
	beat(): void {
		this.checkLease();
		this.beatMs = this.opts.clock.monotonic();
	}

	/** Ends the time after a pause. */
	rejoined(): void {
		this.hasLapsed = false;
		for (const go of this.waiting) {
			go();
		}

		this.waiting.clear();
	}

	/** Resolves once the node may act: at once, or after a pause when it has rejoined. */
	async mayAct(): Promise<void> {
		if (this.lapsed) {
			await new Promise<void>(resolve => {
				this.waiting.add(resolve);
			});
		}
	}

	/** Starts leaving. */
	leave(): void {
		this.isLeaving = true;
	}

	/** Counts a call as open until it ends. */
	readonly track = (call: Promise<void>): void => {
		this.calls.add(call);
		const forget = () => {
			this.calls.delete(call);
		};

		call.then(forget, forget);
	};

	private checkLease(): void {
		if (this.opts.clock.monotonic() - this.beatMs > this.opts.leaseMs) {
			this.hasLapsed = true;
		}
	}
}

const leaving = Fault.of(
	faultKinds.draining,
	'This node is leaving and takes no new work',
	'Send the request to another node',
);
