import {type Admission, Cutoffs} from '@medlarsaddle/control';
import {type Fault, faultKinds} from '@medlarsaddle/core';
import {type CallOutcome, type CallRequest, type Refusal, runStates} from '@medlarsaddle/wire';
import {Bottleneck} from './bottleneck.js';
import type {InFlightCall} from './in-flight-call.js';
import {loadOf} from './load-of.js';
import type {LoadTracker} from './load-tracker.js';

type Ended = {
	readonly admission: Admission;
	readonly call: InFlightCall;
	readonly result: CallOutcome['result'];
	/** Time that the call waited for admission, in milliseconds. */
	readonly waitedMs: number;
};

/** The current upstream, as far as a refusal reports on it. */
type CurrentUpstream = {
	readonly admission: Admission;
	readonly announcement: {readonly service: string};
};

/** How long a caller that is refused because of overload should wait before a retry. */
const overloadRetryAfterMs = 1000;

/**
 * Builds the outcomes of calls at the upstream proxy: how a call ended or why it was refused, with
 * the load and cutoffs that the calling nodes learn from it.
 *
 * @example
 * return outcomes.ended({admission, call, result, waitedMs});
 */
export class OutcomeBuilder {
	/** Creates a builder with no calls recorded. */
	static create(loadTracker: LoadTracker): OutcomeBuilder {
		return new OutcomeBuilder(loadTracker);
	}

	private readonly bottleneck = Bottleneck.create();

	private constructor(private readonly loadTracker: LoadTracker) {}

	/** Builds the outcome of a call that was sent to the upstream. */
	ended({admission, call, result, waitedMs}: Ended): CallOutcome {
		const {service, job} = call.request;
		const own = admission.cutoffs;
		const downstream = call.slowestDownstream;
		const workMs = Math.min(call.ownMs, admission.baselineMs(job) ?? call.ownMs);
		this.bottleneck.record([{service, ms: workMs}, ...(downstream ? [downstream] : [])]);
		const local = {service: this.bottleneck.describe(service), ms: waitedMs + call.ownMs};
		const isDownstreamStricter = call.cutoffs?.isStricterThan(own) ?? false;
		return {
			result,
			cutoffs: (call.cutoffs ? own.strictest(call.cutoffs) : own).values,
			pressedBy: isDownstreamStricter ? call.pressedBy : this.bottleneck.describe(service),
			load: loadOf(admission),
			state: {
				waitMs: Math.round(admission.waitMs),
				limit: admission.limitValue,
				heldMs: Math.round(call.heldMs),
			},
			...this.loadTracker.report(job, service, admission),
			unspent: call.allowance.remaining,
			slowest: downstream && downstream.ms > local.ms ? downstream : local,
			refusedBelow: call.refusedBelow,
		};
	}

	/** Builds the outcome of a call that was refused before it was sent to the upstream. */
	refused(request: CallRequest, fault: Fault, upstream: CurrentUpstream | undefined): CallOutcome {
		const {service, job} = request;
		const admission = upstream?.admission;
		const isServiceAnnounced = upstream?.announcement.service === service;
		const refusal: Refusal = {
			kind: 'refusal',
			fault: fault.kind,
			what: fault.what,
			remedy: fault.remedy,
			run: runStates.notRun,
			retryAfterMs: fault.kind === faultKinds.overloaded ? overloadRetryAfterMs : undefined,
			by: this.bottleneck.describe(service),
			limit: admission?.limitValue,
		};
		return {
			result: refusal,
			cutoffs: (admission?.cutoffs ?? Cutoffs.open(1)).values,
			pressedBy: refusal.by,
			load: admission ? loadOf(admission) : 0,
			...(admission && isServiceAnnounced
				? {
						state: {waitMs: Math.round(admission.waitMs), limit: admission.limitValue},
						...this.loadTracker.report(job, service, admission),
					}
				: {}),
			unspent: request.allowance,
		};
	}
}
