import {requestOutcomes} from '../callers/request-outcomes.js';
import type {RequestResult} from '../callers/request-result.js';

/**
 * Counts the requests whose outcome is not good, by rank, outcome and fault.
 *
 * @example
 * countFaults(shots); // {'critical not-run overloaded': 3}
 */
export const countFaults = (shots: readonly RequestResult[]): Record<string, number> => {
	const counts: Record<string, number> = {};
	for (const {rank, outcome, fault = ''} of shots) {
		if (outcome !== requestOutcomes.good) {
			const label = `${rank} ${outcome} ${fault}`;
			counts[label] = (counts[label] ?? 0) + 1;
		}
	}

	return counts;
};
