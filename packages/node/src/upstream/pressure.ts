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
	/** Hosts of each service. */
	readonly hosts: () => ReadonlyMap<string, number>;
};

const windowMs = 100;

/** Jobs whose kind is remembered. */
const maxJobs = 2000;

/** Hold times are taken for this before the first call of a job ended, in milliseconds. */
const firstHoldMs = 50;

/**
 * What this node knows of how requests load services further down: what its own upstream can take,
 * what requests make it call, and what answers report of other services.
 *
 * @example
 * const pressure = Pressure.create({clock, hosts});
 */
export class Pressure {
	/** Creates the knowledge of a node that has seen no call. */
	static create(opts: Opts): Pressure {
		return new Pressure(opts);
	}

	/** Work of requests by service, as answers report it. */
	readonly footprints = Footprints.create();
	/** Share of the work wanted that services can take, as answers report it. */
	readonly shares: ServableShareTable;
	private readonly spread = CallOrigins.create();
	private readonly rates: CallRates;
	private readonly own = ServableShare.create();
	private readonly calls = new Map<string, boolean>();

	private constructor(private readonly opts: Opts) {
		this.shares = ServableShareTable.create(opts.clock);
		this.rates = CallRates.create(opts.clock);
	}

	/** Share of the work wanted that this node's upstream can take. */
	get ownShare(): number {
		return this.own.value;
	}

	/** Whether services alone call this job, as far as it is known. */
	isCall(job: string): boolean {
		return this.calls.get(job) ?? false;
	}

	/** Notes a call that arrived for this node's upstream. */
	arrived({job, origin}: CallRequest, admission: Admission): void {
		if (origin !== undefined) {
			this.spread.record(job, origin);
		}

		this.own.noteArrived(admission.holdMs(job) || firstHoldMs);
	}

	/** Notes that the upstream runs a call. */
	started(job: string): void {
		this.rates.noteStarted(job);
	}

	/** Notes that the upstream ended a call. */
	ended(job: string): void {
		this.rates.noteEnded(job);
	}

	/** Notes that the upstream made a call. */
	made(job: string): void {
		this.rates.noteCalled(job);
	}

	/** Ends a window of 100 ms. */
	closeWindow(admission: Admission, service: string): void {
		this.rates.closeWindow();
		this.own.closeWindow({
			waitingMs: admission.waiting * (admission.meanHoldMs || firstHoldMs),
			capacityMs: admission.limitValue * windowMs,
			waitMs: admission.waitMs,
		});
		this.shares.update(service, this.own.value);
	}

	/** Takes in what an outcome reports of services further down. */
	learn(job: string, {footprint, shares, isCall}: CallOutcome): void {
		if (footprint) {
			this.footprints.learn(job, footprint);
		}

		if (shares) {
			this.shares.merge(shares);
		}

		if (isCall !== undefined && (this.calls.has(job) || this.calls.size < maxJobs)) {
			this.calls.set(job, isCall);
		}
	}

	/** What an outcome of a job tells the nodes before this one. */
	report(
		job: string,
		service: string,
		admission: Admission,
	): Pick<CallOutcome, 'footprint' | 'shares' | 'isCall'> {
		const footprint = new Map([[service, admission.holdMs(job)]]);
		for (const [called, count] of this.rates.callsPerRequest(job)) {
			for (const [at, workMs] of this.footprints.of(called)) {
				footprint.set(at, (footprint.get(at) ?? 0) + count * workMs);
			}
		}

		return {
			footprint: [...footprint].map(([at, workMs]) => [at, Math.round(workMs)] as const),
			shares: this.shares.recent(footprint.keys()),
			isCall: this.spread.isCall(job, this.opts.hosts()),
		};
	}
}
