import {type Clock, faultKinds} from '@medlarsaddle/core';
import {RetryAllowance, Cutoffs, LearnedCutoffs} from '@medlarsaddle/control';
import type {Gossip} from '@medlarsaddle/members';
import type {Terms} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, callModes, runStates} from '@medlarsaddle/wire';
import type {Config} from '../config/config.js';
import type {Peers} from '../peers/peers.js';
import {refusalOf} from '../peers/refusals.js';
import type {InFlight} from '../upstream/in-flight.js';
import type {InFlightCall} from '../upstream/in-flight-call.js';
import {buildRequest} from './build-request.js';
import {callFaults} from './call-faults.js';
import type {Carrier} from './carrier.js';
import type {Directory} from './directory.js';
import type {Incoming} from './incoming.js';
import type {Originated} from './originated.js';
import type {Owner} from './owner.js';
import {termsFor} from './terms-for.js';

type Opts = {
	readonly clock: Clock;
	readonly config: Config;
	readonly inFlight: InFlight;
	readonly carrier: Carrier;
	readonly owner: Owner;
	readonly directory: Directory;
	readonly peers: Peers;
	readonly gossip: Gossip;
	readonly admissionEnabled: boolean;
	/** Called once for each call that came in. */
	readonly onEnded: (incoming: Incoming, originated: Originated) => void;
};

const maxRemembered = 20_000;

/**
 * Takes calls in: works out their terms, refuses at the entry what a service further down would
 * refuse, and sends the rest on their way.
 *
 * @example
 * const {result} = await router.originate(incoming, signal);
 */
export class Router {
	/** Creates a router that has learned no levels yet. */
	static create(opts: Opts): Router {
		return new Router(opts);
	}

	private readonly book = LearnedCutoffs.create();
	/** Allowances by key, so that a resent request does not get a second one. */
	private readonly allowances = new Map<string, RetryAllowance>();

	private constructor(private readonly opts: Opts) {}

	/** Carries an incoming call through to its answer or refusal. */
	async originate(incoming: Incoming, signal: AbortSignal): Promise<Originated> {
		const startMs = this.opts.clock.monotonic();
		const parent = this.parentOf(incoming);
		const terms = termsFor(this.opts.config.policy, incoming, parent !== undefined);
		const request = buildRequest({incoming, terms, parent, nowMs: startMs});
		const outcome = parent
			? await this.carryChild(request, parent, signal)
			: await this.carryRoot(request, terms, signal);
		const originated = {
			result: outcome.result,
			rootId: request.rootId,
			terms,
			unspent: outcome.unspent,
			outcome,
			cohort: request.cohort,
			elapsedMs: this.opts.clock.monotonic() - startMs,
		};
		this.opts.onEnded(incoming, originated);
		return originated;
	}

	/** Places a call that came from another data centre, unless this one is pressed. */
	readonly spill = async (request: CallRequest, signal: AbortSignal): Promise<CallOutcome> => {
		const pressed = this.refusedAtEntry(request);
		return (
			pressed ?? this.opts.carrier.carry(request, RetryAllowance.of(request.allowance), signal)
		);
	};

	private parentOf({context}: Incoming): InFlightCall | undefined {
		return context === undefined ? undefined : this.opts.inFlight.find(context);
	}

	private async carryChild(
		request: CallRequest,
		parent: InFlightCall,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const share = parent.allowance.split();
		if (request.remainingMs <= 0 || parent.signal.aborted) {
			parent.allowance.refund(share);
			return refusalOf(callFaults.parentGone, runStates.notRun, share);
		}

		parent.childBegan();
		const both = AbortSignal.any([signal, parent.signal]);
		const outcome = await this.dispatch(
			{...request, allowance: share},
			RetryAllowance.of(share),
			both,
		);
		const {result} = outcome;
		const ran = result.kind === 'answer' || result.run === runStates.unknown;
		const acted =
			(ran && !request.idempotent) || (result.kind === 'refusal' && result.final === true);
		parent.childEnded(outcome, acted);
		return outcome;
	}

	private async carryRoot(
		request: CallRequest,
		terms: Terms,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		// An earlier send of the same key may have run, so only its issuer may say that it did not.
		const isNew =
			request.key === undefined || request.idempotent || this.opts.owner.isUnused(request.key);
		if (request.remainingMs <= 0) {
			return refusalOf(
				callFaults.noTimeLeft,
				isNew ? runStates.notRun : runStates.unknown,
				request.allowance,
			);
		}

		const refused = isNew ? this.refusedAtEntry(request) : undefined;
		if (refused) {
			return refused;
		}

		const allowance = this.allowanceOf(request);
		const outcome = await this.dispatch(request, allowance, signal);
		const {result} = outcome;
		const isHomeless =
			result.kind === 'refusal' &&
			result.fault === faultKinds.noEndpoint &&
			result.run === runStates.notRun;
		if (isHomeless && !this.opts.config.policy.names(request.service)) {
			return refusalOf(callFaults.unknownService, runStates.notRun, outcome.unspent);
		}

		const final =
			isHomeless && terms.spill ? await this.sendAbroad(request, outcome, signal) : outcome;
		if (final.cutoffs.length > 0) {
			const {service, job} = request;
			const heard = {cutoffs: Cutoffs.of(final.cutoffs), by: final.pressedBy};
			this.book.learn(service, job, heard, this.opts.clock.monotonic());
		}

		return final;
	}

	private async dispatch(
		request: CallRequest,
		allowance: RetryAllowance,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		return request.key !== undefined && !request.idempotent
			? this.opts.owner.own(request, signal)
			: this.opts.carrier.carry(request, allowance, signal);
	}

	private async sendAbroad(
		request: CallRequest,
		outcome: CallOutcome,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {gossip, peers} = this.opts;
		// A key binds its request to the data centre that issued it.
		if (request.key !== undefined && !request.idempotent) {
			return outcome;
		}

		for (const dataCentre of gossip.contacts.groups) {
			const contact = gossip.contacts.of(dataCentre)[0];
			if (!contact) {
				continue;
			}

			const abroad = await peers.call(contact, callModes.spill, {...request, allowance: 0}, signal);
			const isPlaced = abroad.result.kind === 'answer' || abroad.result.run !== runStates.notRun;
			if (isPlaced) {
				return abroad;
			}
		}

		return outcome;
	}

	/** Refuses before any work is done what some service along the chain would refuse. */
	private refusedAtEntry({
		service,
		job,
		rank,
		cohort,
		allowance,
	}: CallRequest): CallOutcome | undefined {
		if (!this.opts.admissionEnabled) {
			return undefined;
		}

		const cutoffs = this.book.cutoffsFor(service, job, this.opts.clock.monotonic());
		if (!cutoffs || cutoffs.admits(rank, cohort)) {
			return undefined;
		}

		const by = this.book.cutoffSourceOf(service, job);
		const refused = refusalOf(callFaults.pressedBelow, runStates.notRun, allowance, {
			retryAfterMs: 1000,
			by,
		});
		return {...refused, cutoffs: cutoffs.values, pressedBy: by};
	}

	private allowanceOf({key, allowance}: CallRequest): RetryAllowance {
		const known = key === undefined ? undefined : this.allowances.get(key);
		if (known) {
			return known;
		}

		const fresh = RetryAllowance.of(allowance);
		if (key !== undefined) {
			this.allowances.set(key, fresh);
			if (this.allowances.size > maxRemembered) {
				this.allowances.delete(this.allowances.keys().next().value!);
			}
		}

		return fresh;
	}
}
