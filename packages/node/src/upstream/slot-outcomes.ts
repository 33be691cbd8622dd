import {type Admission, Cutoffs} from '@medlarsaddle/control';
import {type Fault, faultKinds} from '@medlarsaddle/core';
import {type CallOutcome, type CallRequest, type Refusal, runStates} from '@medlarsaddle/wire';
import {Bottleneck} from './bottleneck.js';
import type {InFlightCall} from './in-flight-call.js';
import {loadOf} from './load-of.js';
import type {Pressure} from './pressure.js';

type Ended = {
	readonly admission: Admission;
	readonly call: InFlightCall;
	readonly result: CallOutcome['result'];
	/** Time that the call waited for its place, in milliseconds. */
	readonly waitedMs: number;
};

/** The upstream that serves now, as far as a refusal tells of it. */
type Serving = {
	readonly admission: Admission;
	readonly announcement: {readonly service: string};
};

/** When a caller that was refused for load should come back, in milliseconds. */
const returnMs = 1000;

/**
 * Writes the outcomes of a slot: how a call ended or why it was refused, with what the nodes before
 * this one learn from it.
 *
 * @example
 * return outcomes.ended({admission, call, result, waitedMs});
 */
export class SlotOutcomes {
	/** Creates a writer that has seen no call. */
	static create(pressure: Pressure): SlotOutcomes {
		return new SlotOutcomes(pressure);
	}

	private readonly bottleneck = Bottleneck.create();

	private constructor(private readonly pressure: Pressure) {}

	/** The outcome of a call that was sent to the upstream. */
	ended({admission, call, result, waitedMs}: Ended): CallOutcome {
		const {service, job} = call.request;
		const own = admission.cutoffs;
		const below = call.slowestBelow;
		const workMs = Math.min(call.ownMs, admission.baselineMs(job) ?? call.ownMs);
		this.bottleneck.note([{service, ms: workMs}, ...(below ? [below] : [])]);
		const here = {service: this.bottleneck.place(service), ms: waitedMs + call.ownMs};
		const isPressedBelow = call.cutoffs?.isStricterThan(own) ?? false;
		return {
			result,
			cutoffs: (call.cutoffs ? own.strictest(call.cutoffs) : own).values,
			pressedBy: isPressedBelow ? call.pressedBy : this.bottleneck.place(service),
			load: loadOf(admission),
			state: {
				waitMs: Math.round(admission.waitMs),
				limit: admission.limitValue,
				heldMs: Math.round(call.heldMs),
			},
			...this.pressure.report(job, service, admission),
			unspent: call.allowance.remaining,
			slowest: below && below.ms > here.ms ? below : here,
			refusedBelow: call.refusedBelow,
		};
	}

	/** The outcome of a call that the upstream has not seen. */
	refused(request: CallRequest, fault: Fault, serving: Serving | undefined): CallOutcome {
		const {service, job} = request;
		const admission = serving?.admission;
		const isHere = serving?.announcement.service === service;
		const refusal: Refusal = {
			kind: 'refusal',
			fault: fault.kind,
			what: fault.what,
			remedy: fault.remedy,
			run: runStates.notRun,
			retryAfterMs: fault.kind === faultKinds.overloaded ? returnMs : undefined,
			by: this.bottleneck.place(service),
			limit: admission?.limitValue,
		};
		return {
			result: refusal,
			cutoffs: (admission?.cutoffs ?? Cutoffs.open(1)).values,
			pressedBy: refusal.by,
			load: admission ? loadOf(admission) : 0,
			...(admission && isHere
				? {
						state: {waitMs: Math.round(admission.waitMs), limit: admission.limitValue},
						...this.pressure.report(job, service, admission),
					}
				: {}),
			unspent: request.allowance,
		};
	}
}
