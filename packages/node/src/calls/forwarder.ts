import {type Clock, Fault, type Log, events, faultKinds} from '@medlarsaddle/core';
import {Allowance, WeightedTurns, cohortOf} from '@medlarsaddle/control';
import type {Route} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import type {Config} from '../config/config.js';
import {refusalOf} from '../peers/refusals.js';
import type {Arrival} from './arrival.js';
import {callFaults} from './call-faults.js';
import type {Carrier} from './carrier.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly config: Config;
	readonly carrier: Carrier;
	/** Called once for each request that ended. */
	readonly onEnded: (route: Route | undefined, outcome: CallOutcome, elapsedMs: number) => void;
};

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

	private turns = new Map<string, WeightedTurns>();

	private constructor(private readonly opts: Opts) {}

	/** Carries a request through to its answer or refusal. */
	async forward(arrival: Arrival, signal: AbortSignal): Promise<CallOutcome> {
		const {clock, log, config, onEnded} = this.opts;
		const startMs = clock.monotonic();
		const {routes} = config.policy;
		const route = routes?.find(arrival.host, arrival.target);
		const outcome = routes
			? route
				? await this.carry(arrival, route, signal)
				: refusalOf(forwardFaults.noRoute, runStates.notRun, 0)
			: refusalOf(forwardFaults.notConfigured, runStates.notRun, 0);
		const elapsedMs = clock.monotonic() - startMs;
		onEnded(route, outcome, elapsedMs);
		const {result} = outcome;
		log(events.requestEnded, {
			request: arrival.id,
			route: route?.name,
			config: config.policy.versionOf('routes'),
			status: result.kind === 'answer' ? result.status : undefined,
			fault: result.kind === 'refusal' ? result.fault : undefined,
			run: result.kind === 'refusal' ? result.run : undefined,
			by: result.kind === 'refusal' ? result.by : undefined,
			budgetMs: arrival.remainingMs,
			tookMs: Math.round(elapsedMs),
			isFromUpstream: arrival.isFromUpstream || undefined,
		});
		return outcome;
	}

	private async carry(arrival: Arrival, route: Route, signal: AbortSignal): Promise<CallOutcome> {
		const service = this.turnsOf(route).next(route.targets);
		if (service === undefined) {
			return refusalOf(callFaults.noEndpoint, runStates.notRun, 0);
		}

		const {id, method, target, headers, body, isFromUpstream} = arrival;
		const remainingMs = Math.min(route.timeoutMs, arrival.remainingMs ?? route.timeoutMs);
		if (remainingMs <= 0) {
			return refusalOf(callFaults.noTimeLeft, runStates.notRun, 0);
		}

		const request: CallRequest = {
			service,
			job: route.name,
			method,
			path: target,
			headers,
			body,
			rootId: id,
			rank: route.rank,
			cohort: cohortOf(id),
			remainingMs,
			allowance: 0,
			depth: isFromUpstream ? 1 : 0,
			idempotent: route.idempotent,
		};
		return this.opts.carrier.carry(request, Allowance.of(route.attempts - 1), signal);
	}

	private turnsOf({name}: Route): WeightedTurns {
		const known = this.turns.get(name) ?? WeightedTurns.create();
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
