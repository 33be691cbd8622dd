import type {Random} from '@medlarsaddle/core';

type Refused = {
	/** Target latency of an answer, from the first attempt of the caller. */
	readonly goalMs: number;
	/** Timeout of the route. */
	readonly timeoutMs: number;
	/** Time that the caller has left, in milliseconds. */
	readonly budgetMs: number;
	readonly random: Random;
};

/**
 * Callers wait for at most a third of their remaining time; if asked to wait longer, they retry
 * early.
 */
const maxWaitShare = 0.32;
const minRetryAfterMs = 200;

/** Share of a route's timeout that an answer usually takes. */
const usualAnswerShare = 0.4;

/** Share of the delay that is random. */
const jitterShare = 0.35;

/**
 * Delay after which a refused caller should retry, in milliseconds: late enough for the load to
 * have changed, early enough for its answer to meet the goal, and with jitter so that callers do
 * not retry together. This handles the load pattern in which a burst is followed by retries of the
 * callers that it displaced.
 *
 * @example
 * retryAfter({goalMs: 1500, timeoutMs: 1000, budgetMs: 5000, random}); // 715 to 1100
 */
export const retryAfter = ({goalMs, timeoutMs, budgetMs, random}: Refused): number => {
	const latestMs = goalMs - Math.min(goalMs, timeoutMs) * usualAnswerShare;
	const targetMs = Math.min(budgetMs * maxWaitShare, Math.max(minRetryAfterMs, latestMs));
	return targetMs * (1 - jitterShare * random.next());
};
