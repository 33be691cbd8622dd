import type {Config} from '../config/config.js';

/**
 * Admission floor of each rank of the policy; 0 for ranks that only routes use.
 *
 * @example
 * upstream.setFloors(floorsOf(config));
 */
export const floorsOf = ({policy}: Config): readonly number[] => {
	const ranks = Math.max(policy.floors.length, (policy.routes?.leastUrgentRank ?? 0) + 1);
	return Array.from({length: ranks}, (_floor, rank) => policy.floors[rank] ?? 0);
};
