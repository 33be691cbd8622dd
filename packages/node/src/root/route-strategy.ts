import {Admission, SlotLimit} from '@medlarsaddle/control';
import {faultKinds} from '@medlarsaddle/core';
import {createNearSelector} from '../calls/near-selector.js';
import type {Strategy} from './strategy.js';

/**
 * Strategy for requests that are routed by host and path. An upstream is reached only through the
 * node on its host, so its slots are the concurrency limit. The nodes where requests enter admit
 * whole requests by the shares that services report.
 */
export const routeStrategy: Strategy = {
	createSelector: createNearSelector,
	createAdmission: ({clock, floors, slots, connections, isEnabled}) =>
		Admission.create({
			clock,
			floors,
			slotsHint: slots,
			maxLimit: connections,
			isEnabled,
			limit: SlotLimit.create(Math.min(slots, connections)),
			hasCutoffs: false,
		}),
	// The node on the upstream's host refused; the call has not reached the upstream.
	freeRetryFaults: new Set([
		faultKinds.draining,
		faultKinds.noEndpoint,
		faultKinds.overloaded,
		faultKinds.unreachable,
	]),
	// A call below is a request with retries of its own.
	sharesRetries: false,
	// The platform runs one process on each host, so a later incarnation is that of an earlier
	// process whose clock was ahead.
	keepsNodeId: true,
};
