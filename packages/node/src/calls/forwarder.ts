import {type Clock, Fault, type Log, type Random, events, faultKinds} from '@medlarsaddle/core';
import {
	RetryAllowance,
	RetryDetector,
	EntryAdmission,
	WeightedRoundRobin,
	cohortOf,
	retryAfter,
} from '@medlarsaddle/control';
import type {Route} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import type {Config} from '../config/config.js';
import {refusalOf} from '../peers/refusals.js';
import type {Pressure} from '../upstream/pressure.js';
import type {Arrival} from './arrival.js';
import {callFaults} from './call-faults.js';
import type {Carrier} from './carrier.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly config: Config;
	readonly carrier: Carrier;
	readonly pressure: Pressure;
	/** Why no new work is taken; undefined when it is. */
	readonly closedBy: () => Fault | undefined;
	/** Service of the upstream on this host. */
	readonly origin: string;
	/** Called once for each request that ended. */
	readonly onEnded: (route: Route | undefined, outcome: CallOutcome, elapsedMs: number) => void;
};

/** When a caller should return that came to a node which stops, in milliseconds. */
const elsewhereMs = 200;

/**
 * Forwards requests by the routes in force: finds the route, takes the turn of one of its services
 * and carries the request to an endpoint.
 *
 * @example
 * const outcome = await forwarder.forward(arrival, signal);
 */
export class Forwarder {
	/** Creates a forwarder that has forwarded nothing. */
	static create(opts: Opts): Forwarder {
		return new Forwarder(opts);
	}

	private readonly turns = new Map<string, WeightedRoundRobin>();
	private readonly entry: EntryAdmission;
	private readonly budgets = RetryDetector.create();

	private constructor(private readonly opts: Opts) {
		const {clock, pressure} = opts;
		this.entry = EntryAdmission.create({
			clock,
			shareOf: service => pressure.shares.shareOf(service),
		});
	}

	/** Carries a request through to its answer or refusal. */
	async forward(arrival: Arrival, signal: AbortSignal): Promise<CallOutcome> {
		const {clock, log, config, onEnded} = this.opts;
		const startMs = clock.monotonic();
		const {routes} = config.policy;
		const route = routes?.find(arrival.host, arrival.target);
		const tried: string[] = [];
		const outcome = routes
			? route
				? await this.carry(arrival, route, signal, node => tried.push(node))
				: refusalOf(forwardFaults.noRoute, runStates.notRun, 0)
			: refusalOf(forwardFaults.notConfigured, runStates.notRun, 0);
		const elapsedMs = clock.monotonic() - startMs;
		onEnded(route, outcome, elapsedMs);
		const {result} = outcome;
		log(events.requestEnded, {
			request: arrival.id,
			route: route?.name,
			tried: tried.join(' '),
			config: config.policy.versionOf('routes'),
			status: result.kind === 'answer' ? result.status : undefined,
			fault: result.kind === 'refusal' ? result.fault : undefined,
			run: result.kind === 'refusal' ? result.run : undefined,
			by: result.kind === 'refusal' ? result.by : undefined,
			budgetMs: arrival.remainingMs === undefined ? undefined : Math.round(arrival.remainingMs),
			tookMs: Math.round(elapsedMs),
		});
		return outcome;
	}

	private async carry(
		arrival: Arrival,
		route: Route,
		signal: AbortSignal,
		onTried: (node: string) => void,
	): Promise<CallOutcome> {
		const service = this.turnsOf(route).next(route.targets);
		if (service === undefined) {
			return refusalOf(callFaults.noEndpoint, runStates.notRun, 0);
		}

		const {id, method, target, headers, body} = arrival;
		const remainingMs = Math.min(route.timeoutMs, arrival.remainingMs ?? route.timeoutMs);
		if (remainingMs <= 0) {
			return refusalOf(callFaults.noTimeLeft, runStates.notRun, 0);
		}

		// Names of routes change with the configuration, what they take does not.
		const job = `${route.host}${route.pathPrefix}`;
		const {pressure, origin} = this.opts;
		const isCall = pressure.isCall(job);
		if (isCall) {
			// Calls of requests that are in flight go on while the node leaves.
			pressure.made(job);
		} else {
			const closed = this.opts.closedBy();
			if (closed) {
				return refusalOf(closed, runStates.notRun, 0, {retryAfterMs: elsewhereMs});
			}

			const footprint = pressure.footprints.of(job);
			const isReturning = this.budgets.isRetry(job, arrival.remainingMs);
			const {rank} = route;
			const {isAdmitted, by} = this.entry.admit({job, rank, footprint, isRetry: isReturning});
			if (!isAdmitted) {
				const budgetMs = arrival.remainingMs ?? remainingMs;
				const retryAfterMs = retryAfter({...route, budgetMs, random: this.opts.random});
				return refusalOf(callFaults.pressedBelow, runStates.notRun, 0, {retryAfterMs, by});
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
		const outcome = await this.opts.carrier.carry(request, allowance, signal, onTried);
		pressure.learn(job, outcome);
		return outcome;
	}

	private turnsOf({name}: Route): WeightedRoundRobin {
		const known = this.turns.get(name) ?? WeightedRoundRobin.create();
		this.turns.set(name, known);
		return known;
	}
}

const forwardFaults = {
	notConfigured: Fault.of(
		faultKinds.noEndpoint,
		'This node has not read its configuration yet',
		'Send the request again in a second',
	),
	noRoute: Fault.of(
		faultKinds.notFound,
		'No route of the configuration in force takes this host and path',
		'Check host and path, or add a route',
	),
} as const;
