import {type Clock, type Log, events, faultKinds} from '@medlarsaddle/core';
import type {RetryAllowance, Endpoint, RetryRatio} from '@medlarsaddle/control';
import type {Member} from '@medlarsaddle/members';
import {type CallOutcome, type CallRequest, callModes, runStates} from '@medlarsaddle/wire';
import type {Peers} from '../peers/peers.js';
import {refusalOf} from '../peers/refusals.js';
import type {Slot} from '../upstream/slot.js';
import {callFaults} from './call-faults.js';
import type {Directory} from './directory.js';
import type {EndpointSelector} from './endpoint-selector.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly directory: Directory;
	readonly peers: Peers;
	readonly slot: Slot;
	readonly selfId: string;
	readonly selector: EndpointSelector;
	/** Makes the bound on retries for one service. */
	readonly createRatio: () => RetryRatio;
	/** Refusals after which another endpoint may be asked without spending a retry. */
	readonly freeFaults: ReadonlySet<string>;
	/** Whether retries are bounded; off only for comparison. */
	readonly boundsRetries: boolean;
};

const unboundedRetries = 3;
const maxFreeChoices = 2;
const maxRatios = 2000;

/**
 * Carries a call to an endpoint, and to another when that is safe and the allowance permits.
 *
 * @example
 * const outcome = await carrier.carry(request, Allowance.of(2), signal);
 */
export class Carrier {
	/** Creates a carrier that knows nothing of any endpoint yet. */
	static create(opts: Opts): Carrier {
		return new Carrier(opts);
	}

	/** Calls sent again since the start. */
	retries = 0;
	private readonly ratios = new Map<string, RetryRatio>();

	private constructor(private readonly opts: Opts) {}

	/**
	 * Sends the call until it has an answer, may not be sent again, or has no endpoint left. Tells the
	 * node of each endpoint as it is tried.
	 */
	async carry(
		request: CallRequest,
		allowance: RetryAllowance,
		signal: AbortSignal,
		onTried: (node: string) => void = () => {},
	): Promise<CallOutcome> {
		const {clock} = this.opts;
		const endMs = clock.monotonic() + request.remainingMs;
		const tried = new Set<string>();
		const ratio = this.ratioOf(request.service);
		ratio.noteFirstAttempt();
		let freeChoices = 0;
		let mayHaveRun = false;
		let last = refusalOf(callFaults.noEndpoint, runStates.notRun, 0, {retryAfterMs: 1000});
		for (;;) {
			const endpoint = this.opts.selector.choose(request, tried);
			const remainingMs = endMs - clock.monotonic();
			if (!endpoint || remainingMs <= 0 || signal.aborted) {
				return ended(last, mayHaveRun, allowance);
			}

			tried.add(endpoint.node);
			onTried(endpoint.node);
			const attempt = {...request, remainingMs, allowance: allowance.split()};
			last = await this.attempt(endpoint, attempt, signal);
			allowance.refund(last.unspent);
			mayHaveRun ||= last.result.kind === 'answer' || last.result.run === runStates.unknown;
			if (!mayRepeat(last, request)) {
				return ended(last, mayHaveRun, allowance);
			}

			const isFree =
				last.result.kind === 'refusal' &&
				last.result.run === runStates.notRun &&
				this.opts.freeFaults.has(last.result.fault) &&
				freeChoices < maxFreeChoices;
			if (isFree) {
				freeChoices++;
			} else if (!this.mayRetry(ratio, allowance, tried.size)) {
				return ended(last, mayHaveRun, allowance);
			}

			this.retries++;
			this.logRepeated(request, endpoint, last);
		}
	}

	private logRepeated({rootId, service}: CallRequest, {node}: Endpoint, last: CallOutcome): void {
		const {result} = last;
		this.opts.log(events.callRetried, {
			request: rootId,
			service,
			endpoint: node,
			status: result.kind === 'answer' ? result.status : undefined,
			fault: result.kind === 'refusal' ? result.fault : undefined,
			run: result.kind === 'refusal' ? result.run : undefined,
		});
	}

	private mayRetry(ratio: RetryRatio, allowance: RetryAllowance, tries: number): boolean {
		if (!this.opts.boundsRetries) {
			return tries <= unboundedRetries;
		}

		return allowance.remaining > 0 && ratio.spend() && allowance.spend();
	}

	private async attempt(
		endpoint: Endpoint,
		request: CallRequest,
		signal: AbortSignal,
	): Promise<CallOutcome> {
		const {clock, slot, selfId, peers, directory, selector} = this.opts;
		const startMs = clock.monotonic();
		selector.began(endpoint.node);
		const member: Member | undefined = directory.memberOf(endpoint.node);
		const outcome =
			endpoint.node === selfId
				? await slot.run(request, signal)
				: member
					? await peers.call(member, callModes.run, request, signal)
					: refusalOf(callFaults.noEndpoint, runStates.notRun, request.allowance);
		selector.ended(endpoint.node, request, outcome, clock.monotonic() - startMs);
		return outcome;
	}

	private ratioOf(service: string): RetryRatio {
		const known = this.ratios.get(service);
		if (known) {
			return known;
		}

		const fresh = this.opts.createRatio();
		if (this.ratios.size < maxRatios) {
			this.ratios.set(service, fresh);
		}

		return fresh;
	}
}

/** The last outcome; a refusal says "not-run" only if no earlier try may have run either. */
const ended = (last: CallOutcome, mayHaveRun: boolean, allowance: RetryAllowance): CallOutcome => {
	const {result} = last;
	const run = mayHaveRun ? runStates.unknown : runStates.notRun;
	return {
		...last,
		result: result.kind === 'refusal' ? {...result, run} : result,
		unspent: allowance.remaining,
	};
};

const serviceUnavailable = 503;

/** Whether sending the call once more cannot run an action twice and may help. */
const mayRepeat = ({result}: CallOutcome, request: CallRequest): boolean => {
	if (result.kind === 'answer') {
		return request.idempotent && result.status === serviceUnavailable;
	}

	const isHopeless =
		result.fault === faultKinds.quarantined ||
		result.fault === faultKinds.cancelled ||
		result.fault === faultKinds.tooLarge;
	const isSafe = result.run === runStates.notRun || (request.idempotent && !result.final);
	return isSafe && !isHopeless;
};
