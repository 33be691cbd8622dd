import type {Config} from '../config/config.js';

/**
 * Floors of the ranks of the policy; ranks that only routes use have none.
 *
 * @example
 * slot.setFloors(floorsOf(config));
 */
export const floorsOf = ({policy}: Config): readonly number[] => {
	const ranks = Math.max(policy.floors.length, (policy.routes?.lastRank ?? 0) + 1);
	return Array.from({length: ranks}, (_floor, rank) => policy.floors[rank] ?? 0);
};
