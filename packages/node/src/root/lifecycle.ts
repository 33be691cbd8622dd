import type {StopWindow} from '@medlarsaddle/control';
import {type Clock, Fault, faultKinds} from '@medlarsaddle/core';

type Opts = {
	readonly clock: Clock;
	/** A process that was not scheduled for this long must rejoin before it acts. */
	readonly leaseMs: number;
};

/**
 * Whether the node accepts new work: it refuses work while it drains, and after a pause of the
 * process work waits until the node has rejoined. Every check of the lease can detect a pause.
 *
 * @example
 * const fault = lifecycle.drainingFault();
 */
export class Lifecycle {
	/** Creates the state of a node that has just started. */
	static create(opts: Opts): Lifecycle {
		return new Lifecycle(opts);
	}

	private readonly calls = new Set<Promise<void>>();
	private lastHeartbeatMs: number;
	/** When the process ends, in monotonic milliseconds; undefined while it does not stop. */
	private endsMs: number | undefined;
	private hasStartedDraining = false;
	private hasLeaseExpired = false;
	private readonly rejoinWaiters = new Set<() => void>();

	private constructor(private readonly opts: Opts) {
		this.lastHeartbeatMs = opts.clock.monotonic();
	}

	/** Number of calls that are being handled. */
	get openCalls(): number {
		return this.calls.size;
	}

	/** Whether the node drains and refuses new work. */
	get isDraining(): boolean {
		return this.hasStartedDraining;
	}

	/** Whether the process was paused and has not rejoined since. */
	get isLeaseExpired(): boolean {
		this.checkLease();
		return this.hasLeaseExpired;
	}

	/** Whether callers should send requests to this node. */
	get isReady(): boolean {
		return this.endsMs === undefined && !this.hasStartedDraining && !this.isLeaseExpired;
	}

	/** What is left to this process while it stops; undefined when it does not. */
	get stopWindow(): StopWindow | undefined {
		return this.endsMs === undefined
			? undefined
			: {
					untilEndMs: this.endsMs - this.opts.clock.monotonic(),
					isNoticeOver: this.hasStartedDraining,
				};
	}

	/**
	 * Makes the node unready while it still accepts work, so that callers move to other nodes. The
	 * process may end after this time, in milliseconds.
	 */
	beginStop(untilEndMs: number): void {
		this.endsMs = this.opts.clock.monotonic() + untilEndMs;
	}

	/** Fault with which new work is refused; undefined while it is accepted. */
	drainingFault(): Fault | undefined {
		return this.hasStartedDraining ? nodeDraining : undefined;
	}

	/** Records that the process is being scheduled. */
	recordHeartbeat(): void {
		this.checkLease();
		this.lastHeartbeatMs = this.opts.clock.monotonic();
	}

	/** Resumes the work that has waited since a pause. */
	completeRejoin(): void {
		this.hasLeaseExpired = false;
		for (const resume of this.rejoinWaiters) {
			resume();
		}

		this.rejoinWaiters.clear();
	}

	/**
	 * Resolves once the node may act: at once, or when it has rejoined after a pause. The value is the time
	 * waited, in milliseconds, by which the time of a request has to be reduced.
	 */
	async waitUntilRejoined(): Promise<number> {
		if (!this.isLeaseExpired) {
			return 0;
		}

		const startMs = this.opts.clock.monotonic();
		await new Promise<void>(resolve => {
			this.rejoinWaiters.add(resolve);
		});
		return this.opts.clock.monotonic() - startMs;
	}

	/** Starts to drain: new work is refused from now on. */
	startDraining(): void {
		this.hasStartedDraining = true;
	}

	/** Counts a call as open until it settles. */
	readonly track = (call: Promise<void>): void => {
		this.calls.add(call);
		const untrack = () => {
			this.calls.delete(call);
		};

		call.then(untrack, untrack);
	};

	private checkLease(): void {
		if (this.opts.clock.monotonic() - this.lastHeartbeatMs > this.opts.leaseMs) {
			this.hasLeaseExpired = true;
		}
	}
}

const nodeDraining = Fault.of(
	faultKinds.draining,
	'This node is leaving and takes no new work',
	'Send the request to another node',
);
