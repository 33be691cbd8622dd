/**
 * Returns how fast an error budget is spent: at 1 it lasts exactly for the objective's period, at 0
 * nothing is spent.
 *
 * @example
 * burnRate(990, 1000, 0.999); // 10
 */
export const burnRate = (good: number, total: number, goodShare: number): number =>
	total === 0 ? 0 : (total - good) / total / Math.max(minBudget, 1 - goodShare);

/** An objective of 100% has no budget; its burn rate is that of a budget of one in a million. */
const minBudget = 1e-6;
