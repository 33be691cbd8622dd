import {Admission, SlotLimit} from '@medlarsaddle/control';
import {faultKinds} from '@medlarsaddle/core';
import {createNearSelector} from '../calls/near-selector.js';
import type {Strategy} from './strategy.js';

/**
 * For requests routed by host and path: the node beside an upstream is the only way to it, so its
 * slots are the limit, and entries admit whole requests by the shares that services report.
 */
export const routeStrategy: Strategy = {
	createSelector: createNearSelector,
	createAdmission: ({clock, floors, slots, connections, enabled}) =>
		Admission.create({
			clock,
			floors,
			slotsHint: slots,
			maxLimit: connections,
			isEnabled: enabled,
			limit: SlotLimit.create(Math.min(slots, connections)),
			hasCutoffs: false,
		}),
	// The node before the upstream refused; the upstream has seen nothing of the call.
	freeFaults: new Set([
		faultKinds.draining,
		faultKinds.noEndpoint,
		faultKinds.overloaded,
		faultKinds.unreachable,
	]),
	// The platform runs one process a host; a later record is that of an earlier process whose clock
	// was ahead.
	keepsId: true,
	// Most nodes read the store themselves, which costs less than bytes between data centres.
	fetchAfterMs: 300,
};
