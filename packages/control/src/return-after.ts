import type {Random} from '@medlarsaddle/core';

type Refused = {
	/** Time within which an answer is worth most, from when the caller first came. */
	readonly goalMs: number;
	/** Longest time that the route keeps a caller waiting. */
	readonly timeoutMs: number;
	/** Time that the caller has left. */
	readonly budgetMs: number;
	readonly random: Random;
};

/** Callers wait for a third of the time that they have left at most; beyond it they return early. */
const latestReturn = 0.32;
const minReturnMs = 200;

/** Share of a route's time that an answer usually takes. */
const usualShare = 0.4;

/** Share of the time to return that is drawn at random. */
const returnSpread = 0.35;

/**
 * When a refused caller should return, in milliseconds: so late that the load may have changed, so
 * early that its answer can still come within the goal, and spread so that callers do not return
 * together. Answers the load pattern in which a burst is followed by the callers that it displaced.
 *
 * @example
 * returnAfter({goalMs: 1500, timeoutMs: 1000, budgetMs: 5000, random}); // 715 to 1100
 */
export const returnAfter = ({goalMs, timeoutMs, budgetMs, random}: Refused): number => {
	const inGoalMs = goalMs - Math.min(goalMs, timeoutMs) * usualShare;
	const aimedMs = Math.min(budgetMs * latestReturn, Math.max(minReturnMs, inGoalMs));
	return aimedMs * (1 - returnSpread * random.next());
};
