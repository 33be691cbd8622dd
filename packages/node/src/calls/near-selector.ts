import {EndpointView, DataCentreReachability, chooseNear} from '@medlarsaddle/control';
import {type Clock, type Random, faultKinds} from '@medlarsaddle/core';
import {runStates} from '@medlarsaddle/wire';
import type {Directory} from './directory.js';
import type {EndpointSelector} from './endpoint-selector.js';
import {verdictOf} from './verdict-of.js';

type Deps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly directory: Directory;
	/** Data centre of this node. */
	readonly dataCentre: string;
};

/** How long an endpoint is left out that has no upstream or none that takes work. */
const absentMs = 400;

/** Refusals that say that no upstream is to be had at the endpoint. */
const absentFaults = new Set<string>([
	faultKinds.draining,
	faultKinds.noEndpoint,
	faultKinds.unreachable,
]);

/** Refusals after which nothing shows that the node can be reached. */
const lossFaults = new Set<string>([faultKinds.unreachable, faultKinds.deadlineExceeded]);

/**
 * Chooses the endpoint at which a call should end first, one of this data centre while it is not
 * pressed.
 *
 * @example
 * const selector = createNearSelector({clock, random, directory, dataCentre: 'dc1'});
 */
export const createNearSelector = ({
	clock,
	random,
	directory,
	dataCentre,
}: Deps): EndpointSelector => {
	const view = EndpointView.create(clock);
	const places = DataCentreReachability.create(clock);
	return {
		choose: ({service, job, goalMs = 0}, tried) =>
			chooseNear({
				endpoints: directory.endpointsOf(service),
				tried,
				view,
				random,
				job,
				goalMs,
				dataCentre,
				isUnreachable: place => places.isUnreachable(place),
			}),
		began(node) {
			view.noteSent(node);
		},
		ended(node, {job}, outcome) {
			view.noteEnded(node);
			const {result, load, state} = outcome;
			const place = directory.memberOf(node)?.dataCentre;
			if (state) {
				view.noteReport(node, {load, job, ...state});
			}

			if (place !== undefined) {
				if (state) {
					places.noteReply(place);
				} else if (result.kind === 'refusal' && lossFaults.has(result.fault)) {
					places.noteLost(place, node);
				}
			}

			const isAbsent =
				result.kind === 'refusal' &&
				result.run === runStates.notRun &&
				absentFaults.has(result.fault);
			const verdict = verdictOf(outcome);
			if (isAbsent) {
				view.avoid(node, absentMs);
			} else if (verdict === true) {
				view.noteSuccess(node);
			} else if (verdict === false) {
				view.noteFailure(node);
			}
		},
		isEjected: node => view.isAvoided(node),
		keepOnly(nodes) {
			view.retainOnly(nodes);
		},
	};
};
