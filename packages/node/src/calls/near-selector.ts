import {
	DataCentreReachability,
	type Endpoint,
	EndpointView,
	chooseNear,
	subsetEndpoints,
} from '@medlarsaddle/control';
import {type Clock, type Random, faultKinds} from '@medlarsaddle/core';
import {runStates} from '@medlarsaddle/wire';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointSelector} from './endpoint-selector.js';
import {hasSucceeded} from './has-succeeded.js';

type Deps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly directory: EndpointDirectory;
	/** ID of this node. */
	readonly self: string;
	/** Data centre of this node. */
	readonly dataCentre: string;
};

/** How long an endpoint is avoided that has no upstream or whose upstream accepts no calls. */
const unavailableMs = 400;

/** Refusals which show that no upstream is available at the endpoint. */
const unavailableFaults = new Set<string>([
	faultKinds.draining,
	faultKinds.noEndpoint,
	faultKinds.unreachable,
]);

/** Refusals that leave open whether the node can be reached. */
const unreachableFaults = new Set<string>([faultKinds.unreachable, faultKinds.deadlineExceeded]);

/**
 * Creates a selector that chooses the endpoint with the earliest expected end of the call, and
 * prefers this data centre while it is not overloaded. Of a service with many endpoints it uses a
 * subset while any of that can be used.
 *
 * @example
 * const selector = createNearSelector({clock, random, directory, self, dataCentre});
 */
export const createNearSelector = ({
	clock,
	random,
	directory,
	self,
	dataCentre,
}: Deps): EndpointSelector => {
	const view = EndpointView.create(clock);
	const reachability = DataCentreReachability.create(clock);
	/** The directory returns the same list until the members change. */
	const subsets = new WeakMap<readonly Endpoint[], readonly Endpoint[]>();
	const subsetOf = (endpoints: readonly Endpoint[]): readonly Endpoint[] => {
		const subset = subsets.get(endpoints) ?? subsetEndpoints({endpoints, self, dataCentre});
		subsets.set(endpoints, subset);
		return subset;
	};

	const candidatesOf = (service: string, tried: ReadonlySet<string>): readonly Endpoint[] => {
		const endpoints = directory.endpointsOf(service);
		const subset = subsetOf(endpoints);
		const isAnyUsable = subset.some(
			endpoint =>
				!tried.has(endpoint.node) &&
				!endpoint.isSuspect &&
				!view.isAvoided(endpoint.node) &&
				!reachability.isUnreachable(endpoint.dataCentre),
		);
		return isAnyUsable ? subset : endpoints;
	};

	return {
		choose: ({service, job, goalMs = 0}, tried) =>
			chooseNear({
				endpoints: candidatesOf(service, tried),
				tried,
				view,
				random,
				job,
				goalMs,
				dataCentre,
				isUnreachable: name => reachability.isUnreachable(name),
			}),
		noteSent(node) {
			view.noteSent(node);
		},
		noteEnded(node, {job}, outcome) {
			view.noteEnded(node);
			const {result, load, state} = outcome;
			const endpointDataCentre = directory.memberOf(node)?.dataCentre;
			if (state) {
				view.noteReport(node, {load, job, ...state});
			}

			if (endpointDataCentre !== undefined) {
				if (state) {
					reachability.noteReply(endpointDataCentre);
				} else if (result.kind === 'refusal' && unreachableFaults.has(result.fault)) {
					reachability.noteLost(endpointDataCentre, node);
				}
			}

			const isUnavailable =
				result.kind === 'refusal' &&
				result.run === runStates.notRun &&
				unavailableFaults.has(result.fault);
			const isSuccess = hasSucceeded(outcome);
			if (isUnavailable) {
				view.avoid(node, unavailableMs);
			} else if (isSuccess === true) {
				view.noteSuccess(node);
			} else if (isSuccess === false) {
				view.noteFailure(node);
			}
		},
		isEjected: node => view.isAvoided(node),
		retainOnly(nodes) {
			view.retainOnly(nodes);
		},
	};
};
