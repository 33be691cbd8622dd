import {requestOutcomes} from '../callers/request-outcomes.js';
import type {Shot} from '../callers/shot.js';

/**
 * Counts requests that did not end well, by rank, outcome and fault.
 *
 * @example
 * countFaults(shots); // {'critical not-run overloaded': 3}
 */
export const countFaults = (shots: readonly Shot[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {rank, outcome, fault = ''} of shots) {
		if (outcome !== requestOutcomes.good) {
			const name = `${rank} ${outcome} ${fault}`;
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
};
