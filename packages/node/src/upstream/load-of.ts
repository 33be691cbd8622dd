import type {Admission} from '@medlarsaddle/control';

/**
 * Returns the number of running and waiting calls per unit of the concurrency limit. Other nodes
 * use it to choose an endpoint.
 *
 * @example
 * const load = loadOf(admission);
 */
export const loadOf = (admission: Admission): number =>
	(admission.inFlight + admission.waiting) / Math.max(1, admission.limitValue);
