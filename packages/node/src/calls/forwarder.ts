import {type Clock, Fault, type Log, type Random, events, faultKinds} from '@medlarsaddle/core';
import {
	RetryAllowance,
	RetryDetector,
	EntryAdmission,
	WeightedRoundRobin,
	cohortOf,
	retryAfter,
} from '@medlarsaddle/control';
import type {Route, RouteTable} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import {type Result, err, ok} from 'neverthrow';
import type {Config} from '../config/config.js';
import {refusalOf} from '../peers/refusal-of.js';
import type {LoadTracker} from '../upstream/load-tracker.js';
import type {IncomingRequest} from './incoming-request.js';
import {callFaults} from './call-faults.js';
import type {CallSender} from './call-sender.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly config: Config;
	readonly sender: CallSender;
	readonly loadTracker: LoadTracker;
	/** Fault with which new requests are refused; undefined while they are accepted. */
	readonly drainingFault: () => Fault | undefined;
	/** Service of the upstream on this host. */
	readonly origin: string;
	/** Called once for each request, when it has ended. */
	readonly onEnded: (route: Route | undefined, outcome: CallOutcome, elapsedMs: number) => void;
};

/** What a log line takes of a host or a path that no route matches. */
const maxLoggedChars = 128;

/** How long a caller that is refused by a draining node should wait before a retry. */
const drainingRetryAfterMs = 200;

/**
 * Forwards requests by the routes in force: finds the route, picks one of its services by weight
 * and sends the request to an endpoint.
 *
 * @example
 * const forwarded = await forwarder.forward(incoming, signal);
 */
export class Forwarder {
	/** Creates a forwarder. */
	static create(opts: Opts): Forwarder {
		return new Forwarder(opts);
	}

	private readonly roundRobins = new Map<string, WeightedRoundRobin>();
	private readonly entryAdmission: EntryAdmission;
	private readonly retryDetector = RetryDetector.create();

	private constructor(private readonly opts: Opts) {
		const {clock, loadTracker} = opts;
		this.entryAdmission = EntryAdmission.create({
			clock,
			shareOf: service => loadTracker.shares.shareOf(service),
		});
	}

	/**
	 * Forwards a request and returns its answer or refusal. It is a fault of the request itself when
	 * no route of the configuration in force takes it; a refusal never is, whatever its kind.
	 */
	async forward(
		incoming: IncomingRequest,
		signal: AbortSignal,
	): Promise<Result<CallOutcome, Fault>> {
		const {clock, log, config, onEnded} = this.opts;
		const startMs = clock.monotonic();
		const {routes} = config.policy;
		const route = routes?.find(incoming.host, incoming.target);
		const tried: string[] = [];
		const missingFault = () => missingRouteFault(routes, incoming.host);
		const outcome = route
			? await this.sendByRoute(incoming, route, signal, node => tried.push(node))
			: refusalOf(missingFault(), runStates.notRun, 0);
		const elapsedMs = clock.monotonic() - startMs;
		onEnded(route, outcome, elapsedMs);
		const {result} = outcome;
		log(events.requestEnded, {
			request: incoming.id,
			route: route?.name,
			...(route ? {} : {host: cut(incoming.host), path: cut(incoming.target)}),
			tried: tried.join(' '),
			config: config.policy.versionOf('routes'),
			status: result.kind === 'answer' ? result.status : undefined,
			fault: result.kind === 'refusal' ? result.fault : undefined,
			run: result.kind === 'refusal' ? result.run : undefined,
			by: result.kind === 'refusal' ? result.by : undefined,
			isCall: route ? this.opts.loadTracker.isCall(jobOf(route)) : undefined,
			budgetMs: incoming.remainingMs === undefined ? undefined : Math.round(incoming.remainingMs),
			tookMs: Math.round(elapsedMs),
		});
		return !route && missingFault() === forwardFaults.noRoute
			? err(forwardFaults.noRoute)
			: ok(outcome);
	}

	private async sendByRoute(
		incoming: IncomingRequest,
		route: Route,
		signal: AbortSignal,
		onTried: (node: string) => void,
	): Promise<CallOutcome> {
		const service = this.roundRobinOf(route).next(route.targets);
		if (service === undefined) {
			return refusalOf(callFaults.noEndpoint, runStates.notRun, 0);
		}

		const {id, method, target, headers, body} = incoming;
		const remainingMs = Math.min(route.timeoutMs, incoming.remainingMs ?? route.timeoutMs);
		if (remainingMs <= 0) {
			return refusalOf(callFaults.noTimeLeft, runStates.notRun, 0);
		}

		const job = jobOf(route);
		const {loadTracker, origin} = this.opts;
		const isCall = loadTracker.isCall(job);
		if (isCall) {
			// Calls that belong to requests in flight are still accepted while the node drains.
			loadTracker.noteCalled(job);
		} else {
			const drainingFault = this.opts.drainingFault();
			if (drainingFault) {
				return refusalOf(drainingFault, runStates.notRun, 0, {retryAfterMs: drainingRetryAfterMs});
			}

			const footprint = loadTracker.footprints.of(job);
			const isRetry = this.retryDetector.isRetry(job, incoming.remainingMs);
			const {rank} = route;
			const {isAdmitted, by} = this.entryAdmission.admit({job, rank, footprint, isRetry});
			if (!isAdmitted) {
				const budgetMs = incoming.remainingMs ?? remainingMs;
				const retryAfterMs = retryAfter({...route, budgetMs, random: this.opts.random});
				return refusalOf(callFaults.downstreamOverloaded, runStates.notRun, 0, {retryAfterMs, by});
			}
		}

		const request: CallRequest = {
			service,
			job,
			method,
			path: target,
			headers,
			body,
			rootId: id,
			rank: route.rank,
			cohort: cohortOf(id),
			remainingMs,
			allowance: 0,
			depth: isCall ? 1 : 0,
			origin,
			goalMs: Math.min(route.goalMs, route.timeoutMs),
			idempotent: route.idempotent,
		};
		const allowance = RetryAllowance.of(route.attempts - 1);
		const outcome = await this.opts.sender.send(request, allowance, signal, onTried);
		loadTracker.learn(job, outcome);
		return outcome;
	}

	private roundRobinOf({name}: Route): WeightedRoundRobin {
		const known = this.roundRobins.get(name) ?? WeightedRoundRobin.create();
		this.roundRobins.set(name, known);
		return known;
	}
}

/** The name of a route may change with the configuration; its host and path prefix do not. */
const jobOf = ({host, pathPrefix}: Route): string => `${host}${pathPrefix}`;

/** Cuts a text of the caller to the length that a log line may take of it. */
const cut = (text: string): string => text.slice(0, maxLoggedChars);

/** Why a request without a route has none. Only a complete configuration tells that there is none. */
const missingRouteFault = (routes: RouteTable | undefined, host: string): Fault => {
	if (!routes) {
		return forwardFaults.notConfigured;
	}

	return routes.isIncomplete(host) ? forwardFaults.routeUnread : forwardFaults.noRoute;
};

const forwardFaults = {
	notConfigured: Fault.of(
		faultKinds.noEndpoint,
		'This node has not read its configuration yet',
		'Send the request again in a second',
	),
	routeUnread: Fault.of(
		faultKinds.noEndpoint,
		'This node could not read each route of this host',
		'Correct the routes that the log lists as skipped',
	),
	noRoute: Fault.of(
		faultKinds.notFound,
		'No route of the configuration in force takes this host and path',
		'Check host and path, or add a route',
	),
} as const;
