import {Admission} from '@medlarsaddle/control';
import {faultKinds} from '@medlarsaddle/core';
import {createTwoChoiceSelector} from '../calls/two-choice-selector.js';
import type {Strategy} from './strategy.js';

/**
 * For calls named by service and job: the limit of an upstream is found from latency, since callers
 * may reach it past this node, and pressure travels back along the chain as cutoffs.
 */
export const jobStrategy: Strategy = {
	createSelector: createTwoChoiceSelector,
	createAdmission: ({clock, floors, slots, connections, enabled}) =>
		Admission.create({clock, floors, slotsHint: slots, maxLimit: connections, isEnabled: enabled}),
	// They come from an outdated list of endpoints.
	freeFaults: new Set([faultKinds.draining, faultKinds.noEndpoint]),
	// Two processes under one ID would both issue keys.
	keepsId: false,
	fetchAfterMs: 0,
};
