import {type Clock, faultKinds} from '@medlarsaddle/core';
import {RetryAllowance, Cutoffs, LearnedCutoffs} from '@medlarsaddle/control';
import type {Gossip} from '@medlarsaddle/members';
import type {Terms} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, callModes, runStates} from '@medlarsaddle/wire';
import type {Config} from '../config/config.js';
import type {Peers} from '../peers/peers.js';
import {refusalOf} from '../peers/refusal-of.js';
import type {InFlightCalls} from '../upstream/in-flight-calls.js';
import type {InFlightCall} from '../upstream/in-flight-call.js';
import {buildRequest} from './build-request.js';
import {callFaults} from './call-faults.js';
import type {CallSender} from './call-sender.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {IncomingCall} from './incoming-call.js';
import type {CompletedCall} from './completed-call.js';
import type {KeyedCallRunner} from './keyed-call-runner.js';
import {termsFor} from './terms-for.js';

type Opts = {
	readonly clock: Clock;
	readonly config: Config;
	readonly inFlight: InFlightCalls;
	readonly sender: CallSender;
	readonly keyedCalls: KeyedCallRunner;
	readonly directory: EndpointDirectory;
	readonly peers: Peers;
	readonly gossip: Gossip;
	readonly isAdmissionEnabled: boolean;
	/** Called once for each incoming call, when it has ended. */
	readonly onEnded: (incoming: IncomingCall, completed: CompletedCall) => void;
};

const maxAllowances = 20_000;

/**
 * Handles incoming calls: determines their terms, refuses those that a downstream service would
 * refuse, and sends the others to their endpoints.
 *
 * @example
 * const {result} = await router.handle(incoming, signal);
 */
export class Router {
	/** Creates a router that has learned no cutoffs yet. */
	static create(opts: Opts): Router {
		return new Router(opts);
	}

	private readonly learnedCutoffs = LearnedCutoffs.create();
	/** Allowances by key, so that a request sent again under its key gets no second allowance. */
	private readonly allowances = new Map<string, RetryAllowance>();

	private constructor(private readonly opts: Opts) {}

	/** Handles an incoming call and returns its answer or refusal. */
	async handle(incoming: IncomingCall, signal: AbortSignal): Promise<CompletedCall> {
		const startMs = this.opts.clock.monotonic();
		const parent = this.parentOf(incoming);
		const terms = termsFor(this.opts.config.policy, incoming, parent !== undefined);
		const request = buildRequest({incoming, terms, parent, nowMs: startMs});
		const outcome = parent
			? await this.handleChild(request, parent, signal)
			: await this.handleRoot(request, terms, signal);
		const completed = {
			result: outcome.result,
			rootId: request.rootId,
			terms,
			unspent: outcome.unspent,
			outcome,
			cohort: request.cohort,
			elapsedMs: this.opts.clock.monotonic() - startMs,
		};
		this.opts.onEnded(incoming, completed);
		return completed;
	}

	/** Runs a call that spilled over from another data centre, unless this one is overloaded. */
	readonly spill = async (request: CallRequest, signal: AbortSignal): Promise<CallOutcome> => {
		const refused = this.entryRefusal(request);
		return refused ?? this.opts.sender.send(request, RetryAllowance.of(request.allowance), signal);
	};

	private parentOf({context}: IncomingCall): InFlightCall | undefined {
		return context === undefined ? undefined : this.opts.inFlight.find(context);
	}

	private async handleChild(
		request: CallRequest,
		parent: InFlightCall,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const share = parent.allowance.split();
		if (request.remainingMs <= 0 || parent.signal.aborted) {
			parent.allowance.refund(share);
			return refusalOf(callFaults.parentEnded, runStates.notRun, share);
		}

		parent.childStarted();
		const eitherSignal = AbortSignal.any([signal, parent.signal]);
		const outcome = await this.dispatch(
			{...request, allowance: share},
			RetryAllowance.of(share),
			eitherSignal,
		);
		const {result} = outcome;
		const mayHaveRun = result.kind === 'answer' || result.run === runStates.unknown;
		const hasSideEffect =
			(mayHaveRun && !request.idempotent) || (result.kind === 'refusal' && result.final === true);
		parent.childEnded(outcome, hasSideEffect);
		return outcome;
	}

	private async handleRoot(
		request: CallRequest,
		terms: Terms,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		// An earlier attempt with this key may have run, so only its issuer can say that it did not.
		const isNew =
			request.key === undefined || request.idempotent || this.opts.keyedCalls.isUnused(request.key);
		if (request.remainingMs <= 0) {
			return refusalOf(
				callFaults.noTimeLeft,
				isNew ? runStates.notRun : runStates.unknown,
				request.allowance,
			);
		}

		const refused = isNew ? this.entryRefusal(request) : undefined;
		if (refused) {
			return refused;
		}

		const allowance = this.allowanceOf(request);
		const outcome = await this.dispatch(request, allowance, signal);
		const {result} = outcome;
		const hasNoEndpoint =
			result.kind === 'refusal' &&
			result.fault === faultKinds.noEndpoint &&
			result.run === runStates.notRun;
		if (hasNoEndpoint && !this.opts.config.policy.hasService(request.service)) {
			return refusalOf(callFaults.unknownService, runStates.notRun, outcome.unspent);
		}

		const final =
			hasNoEndpoint && terms.spill ? await this.spillOver(request, outcome, signal) : outcome;
		if (final.cutoffs.length > 0) {
			const {service, job} = request;
			const observed = {cutoffs: Cutoffs.of(final.cutoffs), by: final.pressedBy};
			this.learnedCutoffs.learn(service, job, observed, this.opts.clock.monotonic());
		}

		return final;
	}

	private async dispatch(
		request: CallRequest,
		allowance: RetryAllowance,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		return request.key !== undefined && !request.idempotent
			? this.opts.keyedCalls.run(request, signal)
			: this.opts.sender.send(request, allowance, signal);
	}

	private async spillOver(
		request: CallRequest,
		outcome: CallOutcome,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {gossip, peers} = this.opts;
		// A request with a key can only run in the data centre that issued the key.
		if (request.key !== undefined && !request.idempotent) {
			return outcome;
		}

		for (const dataCentre of gossip.contacts.groups) {
			const contact = gossip.contacts.of(dataCentre)[0];
			if (!contact) {
				continue;
			}

			const spilled = await peers.call(contact, {
				mode: callModes.spill,
				request: {...request, allowance: 0},
				signal,
			});
			const isSettled = spilled.result.kind === 'answer' || spilled.result.run !== runStates.notRun;
			if (isSettled) {
				return spilled;
			}
		}

		return outcome;
	}

	/** Refuses, before any work is done, a call that a service along its chain would refuse. */
	private entryRefusal({
		service,
		job,
		rank,
		cohort,
		allowance,
	}: CallRequest): CallOutcome | undefined {
		if (!this.opts.isAdmissionEnabled) {
			return undefined;
		}

		const cutoffs = this.learnedCutoffs.cutoffsFor(service, job, this.opts.clock.monotonic());
		if (!cutoffs || cutoffs.admits(rank, cohort)) {
			return undefined;
		}

		const by = this.learnedCutoffs.cutoffSourceOf(service, job);
		const refused = refusalOf(callFaults.downstreamOverloaded, runStates.notRun, allowance, {
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
			if (this.allowances.size > maxAllowances) {
				this.allowances.delete(this.allowances.keys().next().value!);
			}
		}

		return fresh;
	}
}
