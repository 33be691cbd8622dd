import type {Admission} from '@medlarsaddle/control';

/**
 * Calls that run or wait for each unit of the limit, for the nodes that choose an endpoint.
 *
 * @example
 * const load = loadOf(admission);
 */
export const loadOf = (admission: Admission): number =>
	(admission.inFlight + admission.waiting) / Math.max(1, admission.limitValue);
