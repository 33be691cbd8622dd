/**
 * How fast an error budget is spent: 1 spends it exactly over the objective's period, 0 not at all.
 *
 * @example
 * burnRate(990, 1000, 0.999); // 10
 */
export const burnRate = (good: number, total: number, goodShare: number): number =>
	total === 0 ? 0 : (total - good) / total / Math.max(leastBudget, 1 - goodShare);

/** An objective of every request has no budget; its burn is reported as if one in a million could fail. */
const leastBudget = 1e-6;
