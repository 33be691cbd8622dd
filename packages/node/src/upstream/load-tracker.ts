import {
	type Admission,
	CallRates,
	CallOrigins,
	Footprints,
	ServableShareTable,
	ServableShare,
} from '@medlarsaddle/control';
import type {Clock} from '@medlarsaddle/core';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';

type Opts = {
	readonly clock: Clock;
	/** Number of hosts of each service. */
	readonly hostsByService: () => ReadonlyMap<string, number>;
};

const windowMs = 100;

/** Maximum number of jobs for which `isCall` is stored. */
const maxJobs = 2000;

/** Assumed hold time of a job before its first call has ended. */
const assumedHoldMs = 50;

/**
 * Tracks the load that requests put on services: the share of demand that this node's upstream can
 * serve, the downstream calls that its jobs make, and what answers report about other services.
 *
 * @example
 * const loadTracker = LoadTracker.create({clock, hostsByService});
 */
export class LoadTracker {
	/** Creates a tracker with no calls recorded. */
	static create(opts: Opts): LoadTracker {
		return new LoadTracker(opts);
	}

	/** Work that requests cause at each service, as reported in answers. */
	readonly footprints = Footprints.create();
	/** Share of demand that each service can serve, as reported in answers. */
	readonly shares: ServableShareTable;
	private readonly callOrigins = CallOrigins.create();
	private readonly rates: CallRates;
	private readonly ownWork = ServableShare.create();
	private readonly isCallByJob = new Map<string, boolean>();

	private constructor(private readonly opts: Opts) {
		this.shares = ServableShareTable.create(opts.clock);
		this.rates = CallRates.create(opts.clock);
	}

	/** Share of demand that this node's upstream can serve. */
	get ownShare(): number {
		return this.ownWork.value;
	}

	/** Whether this job is known to be called only by services, never by outside callers. */
	isCall(job: string): boolean {
		return this.isCallByJob.get(job) ?? false;
	}

	/** Records a call that arrived for this node's upstream. */
	noteArrived({job, origin}: CallRequest, admission: Admission): void {
		if (origin !== undefined) {
			this.callOrigins.record(job, origin);
		}

		this.ownWork.noteArrived(admission.holdMs(job) || assumedHoldMs);
	}

	/** Records that the upstream started a call. */
	noteStarted(job: string): void {
		this.rates.noteStarted(job);
	}

	/** Records that the upstream finished a call. */
	noteEnded(job: string): void {
		this.rates.noteEnded(job);
	}

	/** Records that the upstream made a downstream call. */
	noteCalled(job: string): void {
		this.rates.noteCalled(job);
	}

	/** Closes a control window of 100 ms. */
	closeWindow(admission: Admission, service: string): void {
		this.rates.closeWindow();
		this.ownWork.closeWindow({
			waitingMs: admission.waiting * (admission.meanHoldMs || assumedHoldMs),
			capacityMs: admission.limitValue * windowMs,
			waitMs: admission.waitMs,
		});
		this.shares.update(service, this.ownWork.value);
	}

	/** Learns what an outcome reports about downstream services. */
	learn(job: string, {footprint, shares, isCall}: CallOutcome): void {
		if (footprint) {
			this.footprints.learn(job, footprint);
		}

		if (shares) {
			this.shares.merge(shares);
		}

		if (isCall !== undefined && (this.isCallByJob.has(job) || this.isCallByJob.size < maxJobs)) {
			this.isCallByJob.set(job, isCall);
		}
	}

	/** Returns the load report that an outcome of a job carries to the calling nodes. */
	report(
		job: string,
		service: string,
		admission: Admission,
	): Pick<CallOutcome, 'footprint' | 'shares' | 'isCall'> {
		const footprint = new Map([[service, admission.holdMs(job)]]);
		for (const [called, count] of this.rates.callsPerRequest(job)) {
			for (const [downstream, workMs] of this.footprints.of(called)) {
				footprint.set(downstream, (footprint.get(downstream) ?? 0) + count * workMs);
			}
		}

		return {
			footprint: [...footprint].map(([name, workMs]) => [name, Math.round(workMs)] as const),
			shares: this.shares.recent(footprint.keys()),
			isCall: this.callOrigins.isCall(job, this.opts.hostsByService()),
		};
	}
}
