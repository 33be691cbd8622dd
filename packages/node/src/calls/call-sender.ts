import {type Clock, type Log, events, faultKinds} from '@medlarsaddle/core';
import {
	type Endpoint,
	type RetryAllowance,
	type RetryBudget,
	type StopWindow,
	timeBeforeStop,
} from '@medlarsaddle/control';
import type {Member} from '@medlarsaddle/members';
import {type CallOutcome, type CallRequest, callModes, runStates} from '@medlarsaddle/wire';
import type {Peers} from '../peers/peers.js';
import {refusalOf} from '../peers/refusal-of.js';
import type {UpstreamProxy} from '../upstream/upstream-proxy.js';
import type {AttemptEvent} from './attempt-event.js';
import {callFaults} from './call-faults.js';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointSelector} from './endpoint-selector.js';
import {OpenAttempts} from './open-attempts.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly directory: EndpointDirectory;
	readonly peers: Peers;
	readonly upstream: UpstreamProxy;
	readonly selfId: string;
	readonly selector: EndpointSelector;
	/** Creates the retry budget of one service. */
	readonly createRetryBudget: () => RetryBudget;
	/** Refusals after which another endpoint is tried without spending a retry. */
	readonly freeRetryFaults: ReadonlySet<string>;
	/** Whether the calls below a request share its retries, so that each attempt takes some along. */
	readonly sharesRetries: boolean;
	/** What is left to this process while it stops; undefined when it does not. */
	readonly stopWindow: () => StopWindow | undefined;
	/** Whether retries are limited by a budget; turned off only for comparison. */
	readonly hasRetryBudget: boolean;
};

const maxUnbudgetedRetries = 3;
const maxFreeRetries = 2;
const maxRetryBudgets = 2000;

/** How long a caller that is refused by a stopping node should wait before a retry. */
const stoppingRetryAfterMs = 200;

/**
 * Sends a call to an endpoint, and retries it at another one when that is safe and the allowance
 * permits.
 *
 * @example
 * const outcome = await sender.send(request, RetryAllowance.of(2), signal);
 */
export class CallSender {
	/** Creates a sender with no retry budgets yet. */
	static create(opts: Opts): CallSender {
		return new CallSender(opts);
	}

	/** Number of retries since the start. */
	retries = 0;
	private readonly retryBudgets = new Map<string, RetryBudget>();

	private constructor(private readonly opts: Opts) {}

	/**
	 * Sends the call until it has an answer, may not be retried, or has no endpoint left. One that may
	 * be repeated and stalls is tried at another endpoint as well, and the first answer is taken. While
	 * the process stops, no attempt starts that it may not live to see the end of. Calls `onTried` with
	 * the node of each endpoint before it is tried.
	 */
	async send(
		request: CallRequest,
		allowance: RetryAllowance,
		signal: AbortSignal,
		onTried: (node: string) => void = () => {},
	): Promise<CallOutcome> {
		const {clock, selector, stopWindow} = this.opts;
		const endMs = clock.monotonic() + request.remainingMs;
		const tried = new Set<string>();
		const retryBudget = this.retryBudgetOf(request.service);
		retryBudget.noteFirstAttempt();
		const attempts = OpenAttempts.create(signal);
		const spendRetry = () => this.trySpendRetry(retryBudget, allowance, tried.size);
		const timeLeft = () =>
			timeBeforeStop({...request, remainingMs: endMs - clock.monotonic()}, stopWindow());
		const start = (mayStart: () => boolean, cause?: AttemptEvent) => {
			const remainingMs = timeLeft() ?? 0;
			const hasTime = remainingMs > 0 && !signal.aborted;
			const endpoint = hasTime ? selector.choose(request, tried) : undefined;
			if (!endpoint || !mayStart()) {
				return;
			}

			if (cause) {
				this.retries++;
				this.logRetry(request, cause, attempts.size);
			}

			tried.add(endpoint.node);
			onTried(endpoint.node);
			const share = this.opts.sharesRetries ? allowance.split() : 0;
			const attempt = {...request, remainingMs, allowance: share};
			attempts.start(endpoint, async (attemptSignal, onStalled) =>
				this.sendTo(endpoint, attempt, attemptSignal, onStalled),
			);
		};

		let freeRetries = 0;
		let mayHaveRun = false;
		let last = timeLeft() === undefined ? stoppingOutcome : noEndpointOutcome;
		start(isAlwaysAllowed);
		try {
			while (attempts.size > 0) {
				const event = await attempts.next();
				if (event.kind === 'stalled') {
					allowance.refund(event.unspent);
					start(spendRetry, event);
					continue;
				}

				last = event.outcome;
				allowance.refund(last.unspent);
				mayHaveRun ||= last.result.kind === 'answer' || last.result.run === runStates.unknown;
				if (isRetryable(last, request)) {
					const isFree = this.isFreeRetry(last) && freeRetries < maxFreeRetries;
					freeRetries += isFree ? 1 : 0;
					start(isFree ? isAlwaysAllowed : spendRetry, event);
				} else if (last.result.kind === 'answer') {
					break;
				}
			}

			return finalOutcome(last, mayHaveRun, allowance);
		} finally {
			attempts.supersede();
		}
	}

	private logRetry({rootId, service}: CallRequest, cause: AttemptEvent, open: number): void {
		const result = cause.kind === 'ended' ? cause.outcome.result : undefined;
		this.opts.log(events.callRetried, {
			request: rootId,
			service,
			endpoint: cause.endpoint.node,
			isStalled: cause.kind === 'stalled' ? true : undefined,
			status: result?.kind === 'answer' ? result.status : undefined,
			fault: result?.kind === 'refusal' ? result.fault : undefined,
			run: result?.kind === 'refusal' ? result.run : undefined,
			open,
		});
	}

	/** Whether the call has not left the node of the endpoint, so that a retry repeats nothing. */
	private isFreeRetry({result}: CallOutcome): boolean {
		return (
			result.kind === 'refusal' &&
			result.run === runStates.notRun &&
			this.opts.freeRetryFaults.has(result.fault)
		);
	}

	private trySpendRetry(
		retryBudget: RetryBudget,
		allowance: RetryAllowance,
		attempts: number,
	): boolean {
		if (!this.opts.hasRetryBudget) {
			return attempts <= maxUnbudgetedRetries;
		}

		return allowance.remaining > 0 && retryBudget.spend() && allowance.spend();
	}

	private async sendTo(
		endpoint: Endpoint,
		request: CallRequest,
		signal: AbortSignal,
		onStalled: (unspent: number) => void,
	): Promise<CallOutcome> {
		const {clock, upstream, selfId, peers, directory, selector} = this.opts;
		const startMs = clock.monotonic();
		selector.noteSent(endpoint.node);
		const member: Member | undefined = directory.memberOf(endpoint.node);
		const outcome =
			endpoint.node === selfId
				? await upstream.run(request, signal, onStalled)
				: member
					? await peers.call(member, {
							mode: callModes.run,
							request,
							signal,
							onStalled: request.idempotent ? onStalled : undefined,
						})
					: refusalOf(callFaults.noEndpoint, runStates.notRun, request.allowance);
		selector.noteEnded(endpoint.node, request, outcome, clock.monotonic() - startMs);
		return outcome;
	}

	private retryBudgetOf(service: string): RetryBudget {
		const known = this.retryBudgets.get(service);
		if (known) {
			return known;
		}

		const fresh = this.opts.createRetryBudget();
		if (this.retryBudgets.size < maxRetryBudgets) {
			this.retryBudgets.set(service, fresh);
		}

		return fresh;
	}
}

const noEndpointOutcome = refusalOf(callFaults.noEndpoint, runStates.notRun, 0, {
	retryAfterMs: 1000,
});
const stoppingOutcome = refusalOf(callFaults.nodeStopping, runStates.notRun, 0, {
	retryAfterMs: stoppingRetryAfterMs,
});

/** For an attempt that takes no retry from a budget. */
const isAlwaysAllowed = () => true;

/** The last outcome; a refusal is "not-run" only if no earlier attempt may have run. */
const finalOutcome = (
	last: CallOutcome,
	mayHaveRun: boolean,
	allowance: RetryAllowance,
): CallOutcome => {
	const {result} = last;
	const run = mayHaveRun ? runStates.unknown : runStates.notRun;
	return {
		...last,
		result: result.kind === 'refusal' ? {...result, run} : result,
		unspent: allowance.remaining,
	};
};

const serviceUnavailable = 503;

/** Whether a retry may succeed and cannot run an action twice. */
const isRetryable = ({result}: CallOutcome, request: CallRequest): boolean => {
	if (result.kind === 'answer') {
		return request.idempotent && result.status === serviceUnavailable;
	}

	const isPermanent =
		result.fault === faultKinds.quarantined ||
		result.fault === faultKinds.cancelled ||
		result.fault === faultKinds.tooLarge;
	const isSafe = result.run === runStates.notRun || (request.idempotent && !result.final);
	return isSafe && !isPermanent;
};
