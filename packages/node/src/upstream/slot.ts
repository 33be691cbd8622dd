import {type Clock, type Fault, type Log, events} from '@medlarsaddle/core';
import type {Admission, Quarantine} from '@medlarsaddle/control';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';
import type {z} from 'zod';
import type {announcement} from './announcement.js';
import {CrashWatch} from './crash-watch.js';
import {execute} from './execute.js';
import type {InFlight} from './in-flight.js';
import type {Pressure} from './pressure.js';
import {Serving} from './serving.js';
import {SilenceWatch} from './silence-watch.js';
import {slotFaults} from './slot-faults.js';
import {SlotOutcomes} from './slot-outcomes.js';
import {Suspects} from './suspects.js';
import type {UpstreamProtocol} from './upstream-protocol.js';
import {UpstreamLease} from './upstream-lease.js';

type Announcement = z.infer<typeof announcement>;

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly host: string;
	readonly node: string;
	readonly maxBodyBytes: number;
	readonly inFlight: InFlight;
	readonly protocol: UpstreamProtocol;
	readonly quarantine: Quarantine;
	readonly createAdmission: (announced: Announcement) => Admission;
	readonly pressure: Pressure;
	/** Called when the offer to other nodes has changed. */
	readonly onChanged: () => void;
	/** Called with suspects to be spread after a crash. */
	readonly onSuspects: (suspects: ReturnType<Quarantine['noteCrash']>) => void;
};

/**
 * The place of the one upstream that runs on this node's host: its announcement, its admission and
 * its connections.
 *
 * @example
 * const outcome = await slot.run(request, signal);
 */
export class Slot {
	/** Creates an empty slot. */
	static create(opts: Opts): Slot {
		return new Slot(opts);
	}

	/** Calls that were started on the upstream. */
	started = 0;
	private serving: Serving | undefined;
	private readonly lease: UpstreamLease;
	private isNodeDraining = false;
	private readonly outcomes: SlotOutcomes;
	private readonly suspects: Suspects;
	private readonly silence: SilenceWatch;
	private readonly crashes: CrashWatch;

	private constructor(private readonly opts: Opts) {
		this.lease = UpstreamLease.create(opts.clock);
		this.outcomes = SlotOutcomes.create(opts.pressure);
		this.silence = SilenceWatch.create(opts.clock);
		this.suspects = Suspects.create(opts.quarantine);
		this.crashes = CrashWatch.create({
			...opts,
			isAnswering: async () => (await this.serving?.pool.isAnswering()) ?? true,
		});
	}

	/** What the upstream announced, if there is one. */
	get announced(): Announcement | undefined {
		return this.serving?.announcement;
	}

	/** Whether new work is refused because node or upstream are leaving. */
	get isDraining(): boolean {
		return this.isNodeDraining || (this.serving?.announcement.draining ?? false);
	}

	/** Whether the upstream runs any call of this node. */
	get isRunning(): boolean {
		return this.opts.inFlight.size > 0;
	}

	/** Whether no idle connection has answered lately enough to be trusted without a probe. */
	get isProofStale(): boolean {
		return this.serving?.pool.isProofStale ?? true;
	}

	/** The admission of the upstream, if there is one. */
	get admission(): Admission | undefined {
		return this.serving?.admission;
	}

	/**
	 * Takes up an announcement. A new instance starts with fresh limits; the same one under new terms
	 * keeps its connections, so that calls in flight go on.
	 */
	announce(next: Announcement): void {
		const before = this.serving?.announcement;
		this.lease.renew();
		if (next.draining && !before?.draining) {
			this.serving?.admission.refuseWaiting();
		}

		if (this.serving?.isSameProcess(next)) {
			this.serving = this.serving.under(next);
			if (before?.draining !== next.draining || before.slots !== next.slots) {
				this.opts.onChanged();
			}

			return;
		}

		if (before && before.instance !== next.instance) {
			this.crashes.crashed();
		}

		this.serving?.pool.destroy();
		this.serving = Serving.create(this.opts, next);
		this.opts.log(events.upstreamAnnounced, {service: next.service, port: next.port});
		this.opts.onChanged();
	}

	/** Empties the slot. */
	withdraw(): void {
		const {serving} = this;
		if (serving) {
			this.serving = undefined;
			serving.pool.destroy();
			this.opts.log(events.upstreamWithdrawn, {service: serving.announcement.service});
			this.opts.onChanged();
		}
	}

	/** Starts or ends the refusal of new work. Work in flight goes on. */
	setDraining(draining: boolean): void {
		if (this.isNodeDraining !== draining) {
			this.isNodeDraining = draining;
			this.opts.onChanged();
		}
	}

	/** Takes up the floors of a new policy. */
	setFloors(floors: readonly number[]): void {
		this.serving?.admission.setFloors(floors);
	}

	/** Ends a window of the admission. */
	closeWindow(): void {
		const {serving} = this;
		if (!serving) {
			return;
		}

		const {admission, announcement} = serving;
		const {pressure, log} = this.opts;
		const wasOpen = this.isOpen(admission);
		admission.closeWindow();
		pressure.closeWindow(admission, announcement.service);
		const isOpen = this.isOpen(admission);
		if (wasOpen !== isOpen) {
			log(isOpen ? events.overloadEnded : events.overloadStarted, {
				service: announcement.service,
				limit: admission.limitValue,
				running: admission.inFlight,
				waiting: admission.waiting,
				waitMs: Math.round(admission.waitMs),
				share: pressure.ownShare,
			});
		}
	}

	/** Probes the upstream; withdraws it when it neither renews nor answers. */
	async probe(): Promise<void> {
		const {serving} = this;
		const hasLapsed =
			serving && (await this.lease.hasLapsed(async () => serving.pool.isAnswering()));
		if (hasLapsed && this.serving === serving) {
			this.opts.log(events.upstreamUnhealthy, {service: serving.announcement.service});
			this.withdraw();
		}
	}

	/** Admits a call and runs it on the upstream, or refuses it. */
	async run(request: CallRequest, signal: AbortSignal): Promise<CallOutcome> {
		const {serving} = this;
		if (serving?.announcement.service !== request.service) {
			return this.refuse(request, slotFaults.notHere);
		}

		if (this.isDraining) {
			return this.refuse(request, slotFaults.draining);
		}

		const refusal = this.suspects.refusalOf(request);
		if (refusal) {
			return this.refuse(request, refusal);
		}

		const {admission} = serving;
		const {pressure} = this.opts;
		pressure.arrived(request, admission);
		const startMs = this.opts.clock.monotonic();
		const deadlineMs = startMs + request.remainingMs;
		const {job, rank, cohort, depth} = request;
		const permit = await admission.acquire({job, rank, cohort, depth, deadlineMs, signal});
		if (permit.isErr()) {
			return this.refuse(request, permit.error);
		}

		// Another suspect may have started while this one waited.
		const isSuspect = this.suspects.includes(request);
		if (isSuspect && !this.suspects.begin()) {
			admission.release(job);
			return this.refuse(request, slotFaults.suspectBusy);
		}

		const waitedMs = this.opts.clock.monotonic() - startMs;
		const remainingMs = deadlineMs - startMs - waitedMs;
		try {
			this.started++;
			pressure.started(job);
			const {inFlight, protocol} = this.opts;
			const {silence, crashes} = this;
			const {instance} = serving.announcement;
			const onReplaced = () => {
				// Each announcement makes a new value of it, but the process is the same while its pool is.
				if (this.serving?.pool === serving.pool) {
					this.withdraw();
				}
			};

			const deps = {inFlight, silence, crashes, protocol, instance, onReplaced, ...serving};
			const {call, result} = await execute(deps, {...request, remainingMs}, signal);
			return this.outcomes.ended({admission, call, result, waitedMs});
		} finally {
			pressure.ended(job);
			if (isSuspect) {
				this.suspects.end();
			}
		}
	}

	/** Whether everything wanted is taken: nothing is cut off here and no share is held back. */
	private isOpen(admission: Admission): boolean {
		return admission.cutoffs.isOpen && this.opts.pressure.ownShare === 1;
	}

	private refuse(request: CallRequest, fault: Fault): CallOutcome {
		const admission = this.serving?.admission;
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
		return this.outcomes.refused(request, fault, this.serving);
	}
}
