import {Admission} from '@medlarsaddle/control';
import {faultKinds} from '@medlarsaddle/core';
import {createTwoChoiceSelector} from '../calls/two-choice-selector.js';
import type {Strategy} from './strategy.js';

/**
 * Strategy for calls that name a service and a job. The concurrency limit of an upstream is derived
 * from latency, since callers may bypass this node, and overload is reported back along the call
 * chain as cutoffs.
 */
export const jobStrategy: Strategy = {
	createSelector: createTwoChoiceSelector,
	createAdmission: ({clock, floors, slots, connections, isEnabled}) =>
		Admission.create({
			clock,
			floors,
			slotsHint: slots,
			maxLimit: connections,
			isEnabled,
		}),
	// These refusals result from an outdated list of endpoints, and no upstream has seen the call.
	freeRetryFaults: new Set([faultKinds.draining, faultKinds.noEndpoint, faultKinds.unreachable]),
	sharesRetries: true,
	// Two processes with one ID would both issue idempotency keys.
	keepsNodeId: false,
};
