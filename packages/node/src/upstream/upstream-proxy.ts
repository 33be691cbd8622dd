import {type Clock, type Fault, type Log, events} from '@medlarsaddle/core';
import type {ByteBudget, Admission, Quarantine} from '@medlarsaddle/control';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';
import type {z} from 'zod';
import type {announcement} from './announcement.js';
import type {ConnectionPool} from './connection-pool.js';
import {CrashDetector} from './crash-detector.js';
import {execute} from './execute.js';
import type {InFlightCall} from './in-flight-call.js';
import type {InFlightCalls} from './in-flight-calls.js';
import type {LoadTracker} from './load-tracker.js';
import {AnnouncedUpstream} from './announced-upstream.js';
import {SilenceDetector} from './silence-detector.js';
import {proxyFaults} from './proxy-faults.js';
import {OutcomeBuilder} from './outcome-builder.js';
import {SuspectGate} from './suspect-gate.js';
import type {UpstreamProtocol} from './upstream-protocol.js';
import {UpstreamLease} from './upstream-lease.js';

type Announcement = z.infer<typeof announcement>;

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly host: string;
	readonly node: string;
	readonly maxBodyBytes: number;
	/** What the bodies of answers may hold together while they are read; unlimited by default. */
	readonly budget?: ByteBudget | undefined;
	readonly inFlight: InFlightCalls;
	readonly protocol: UpstreamProtocol;
	readonly quarantine: Quarantine;
	readonly createAdmission: (announced: Announcement) => Admission;
	readonly loadTracker: LoadTracker;
	/** Called when the service, slots or draining state offered to other nodes has changed. */
	readonly onOfferChanged: () => void;
	/** Called after a crash with the suspects that other nodes have to learn of. */
	readonly onSuspects: (suspects: ReturnType<Quarantine['noteCrash']>) => void;
};

/**
 * Proxy of the upstream on this node's host. It holds the announcement, admission and connections
 * of the upstream while one is announced.
 *
 * @example
 * const outcome = await upstream.run(request, signal);
 */
export class UpstreamProxy {
	/** Creates a proxy whose upstream is not announced yet. */
	static create(opts: Opts): UpstreamProxy {
		return new UpstreamProxy(opts);
	}

	/** Number of calls that were started on the upstream. */
	startedCalls = 0;
	private current: AnnouncedUpstream | undefined;
	private readonly lease: UpstreamLease;
	private isNodeDraining = false;
	private readonly outcomes: OutcomeBuilder;
	private readonly suspectGate: SuspectGate;
	private readonly silenceDetector: SilenceDetector;
	private readonly crashDetector: CrashDetector;

	private constructor(private readonly opts: Opts) {
		this.lease = UpstreamLease.create(opts.clock);
		this.outcomes = OutcomeBuilder.create(opts.loadTracker);
		this.silenceDetector = SilenceDetector.create(opts.clock);
		this.suspectGate = SuspectGate.create(opts.quarantine);
		this.crashDetector = CrashDetector.create({
			...opts,
			isAnswering: async () => (await this.current?.pool.isAnswering()) ?? true,
		});
	}

	/** The announcement of the upstream, if it is announced. */
	get announced(): Announcement | undefined {
		return this.current?.announcement;
	}

	/** Whether new calls are refused because the node or the upstream is draining. */
	get isDraining(): boolean {
		return this.isNodeDraining || (this.current?.announcement.draining ?? false);
	}

	/** Whether the upstream is running any call. */
	get hasRunningCalls(): boolean {
		return this.opts.inFlight.size > 0;
	}

	/** Whether no idle connection has answered recently enough to be used without a probe. */
	get isProbeDue(): boolean {
		return this.current?.pool.isProbeDue ?? true;
	}

	/** The admission of the upstream, if it is announced. */
	get admission(): Admission | undefined {
		return this.current?.admission;
	}

	/**
	 * Applies an announcement. A new instance starts with initial limits. An instance that announces
	 * itself again keeps its connections, so that calls in flight continue.
	 */
	announce(next: Announcement): void {
		const before = this.current?.announcement;
		this.lease.renew();
		if (next.draining && !before?.draining) {
			this.current?.admission.refuseWaiting();
		}

		if (this.current?.isSameProcess(next)) {
			this.current = this.current.withAnnouncement(next);
			if (before?.draining !== next.draining || before.slots !== next.slots) {
				this.opts.onOfferChanged();
			}

			return;
		}

		if (before && before.instance !== next.instance) {
			this.crashDetector.noteCrash();
		}

		this.current?.pool.retire();
		this.current = AnnouncedUpstream.create(this.opts, next);
		this.opts.log(events.upstreamAnnounced, {
			service: next.service,
			port: next.port,
			running: this.opts.inFlight.size,
		});
		this.opts.onOfferChanged();
	}

	/** Withdraws the upstream. Calls in flight continue. */
	withdraw(): void {
		const {current} = this;
		if (current) {
			this.current = undefined;
			current.pool.retire();
			this.opts.log(events.upstreamWithdrawn, {
				service: current.announcement.service,
				running: this.opts.inFlight.size,
			});
			this.opts.onOfferChanged();
		}
	}

	/** Starts or stops draining the node. Calls in flight continue. */
	setDraining(draining: boolean): void {
		if (this.isNodeDraining !== draining) {
			this.isNodeDraining = draining;
			this.opts.onOfferChanged();
		}
	}

	/** Applies the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		this.current?.admission.setFloors(floors);
	}

	/** Closes a control window of the admission. */
	closeWindow(): void {
		const {current} = this;
		if (!current) {
			return;
		}

		const {admission, announcement} = current;
		const {loadTracker, log} = this.opts;
		const wasAdmittingAll = this.isAdmittingAll(admission);
		admission.closeWindow();
		loadTracker.closeWindow(admission, announcement.service);
		const isAdmittingAll = this.isAdmittingAll(admission);
		if (wasAdmittingAll !== isAdmittingAll) {
			log(isAdmittingAll ? events.overloadEnded : events.overloadStarted, {
				service: announcement.service,
				limit: admission.limitValue,
				running: admission.inFlight,
				waiting: admission.waiting,
				waitMs: Math.round(admission.waitMs),
				share: loadTracker.ownShare,
			});
		}
	}

	/** Probes the upstream, and withdraws it when its lease has lapsed. */
	async probe(): Promise<void> {
		const {current} = this;
		const hasLapsed =
			current && (await this.lease.hasLapsed(async () => current.pool.isAnswering()));
		if (hasLapsed && this.current === current) {
			this.opts.log(events.upstreamUnhealthy, {service: current.announcement.service});
			this.withdraw();
		}
	}

	/**
	 * Admits a call and runs it on the upstream, or refuses it. `onStalled` takes the retries that the
	 * call returns once nothing shows whether the upstream has received it; the call goes on.
	 */
	async run(
		request: CallRequest,
		signal: AbortSignal,
		onStalled?: (unspent: number) => void,
	): Promise<CallOutcome> {
		const {current} = this;
		if (current?.announcement.service !== request.service) {
			return this.refuse(request, proxyFaults.serviceNotServed);
		}

		if (this.isDraining) {
			return this.refuse(request, proxyFaults.draining);
		}

		const fault = this.suspectGate.faultOf(request);
		if (fault) {
			return this.refuse(request, fault);
		}

		const {admission} = current;
		const {loadTracker} = this.opts;
		loadTracker.noteArrived(request, admission);
		const startMs = this.opts.clock.monotonic();
		const deadlineMs = startMs + request.remainingMs;
		const {job, rank, cohort, depth} = request;
		const permit = await admission.acquire({job, rank, cohort, depth, deadlineMs, signal});
		if (permit.isErr()) {
			return this.refuse(request, permit.error);
		}

		// Another suspect may have started while this one waited for admission.
		const isSuspect = this.suspectGate.isSuspect(request);
		if (isSuspect && !this.suspectGate.begin()) {
			admission.release(job);
			return this.refuse(request, proxyFaults.suspectBusy);
		}

		const waitedMs = this.opts.clock.monotonic() - startMs;
		const remainingMs = request.remainingMs - waitedMs;
		try {
			this.startedCalls++;
			loadTracker.noteStarted(job);
			const {clock, inFlight, log, protocol} = this.opts;
			const {silenceDetector, crashDetector} = this;
			const {instance} = current.announcement;
			const onReplaced = () => {
				// Each announcement creates a new record; the process is the same as long as the pool is.
				if (this.current?.pool === current.pool) {
					this.withdraw();
				}
			};

			const deps = {
				clock,
				log,
				inFlight,
				silenceDetector,
				crashDetector,
				protocol,
				instance,
				faultOf: (call: InFlightCall) => this.lateFaultOf(call, current.pool),
				onReplaced,
				onStalled,
				...current,
			};
			const executed = await execute(deps, {...request, remainingMs}, signal);
			return 'fault' in executed
				? this.refuse(request, executed.fault)
				: this.outcomes.ended({admission, waitedMs, ...executed});
		} finally {
			loadTracker.noteEnded(job);
			if (isSuspect) {
				this.suspectGate.end();
			}
		}
	}

	/** Whether all calls are admitted: no cutoff is in force and all demand can be served. */
	private isAdmittingAll(admission: Admission): boolean {
		return admission.cutoffs.isOpen && this.opts.loadTracker.ownShare === 1;
	}

	/** Why an admitted call may no longer be sent on a connection of this pool. */
	private lateFaultOf(call: InFlightCall, pool: ConnectionPool): Fault | undefined {
		if (pool.isRetired) {
			return proxyFaults.serviceNotServed;
		}

		if (this.isDraining) {
			return proxyFaults.draining;
		}

		return call.deadlineMs <= this.opts.clock.monotonic() ? proxyFaults.expired : undefined;
	}

	private refuse(request: CallRequest, fault: Fault): CallOutcome {
		const admission = this.current?.admission;
		this.opts.log(events.callRefused, {
			request: request.rootId,
			service: request.service,
			rank: request.rank,
			fault: fault.kind,
			error: fault.what,
			budgetMs: Math.round(request.remainingMs),
			limit: admission?.limitValue,
			running: admission?.inFlight,
			waiting: admission?.waiting,
			waitMs: admission && Math.round(admission.waitMs),
		});
		return this.outcomes.refused(request, fault, this.current);
	}
}
