/** A caller with less than this share of the usual time left has come before. */
const usedShare = 0.95;

/** With each request the longest time seen counts a little less, so that a shorter one is found. */
const kept = 0.9995;
const maxJobs = 2000;

/**
 * Tells callers that come for the first time from those that return, by the time that they have left:
 * callers of a job begin with the same time, and who has used part of it has come before.
 *
 * @example
 * budgets.isReturning('PAY', 5000); // false
 * budgets.isReturning('PAY', 4000); // true
 */
export class Budgets {
	/** Creates a table without jobs. */
	static create(): Budgets {
		return new Budgets();
	}

	private readonly longestMs = new Map<string, number>();

	private constructor() {}

	/** Whether a caller of a job with `budgetMs` left has come before; no if it does not say. */
	isReturning(job: string, budgetMs: number | undefined): boolean {
		if (budgetMs === undefined) {
			return false;
		}

		const longestMs = Math.max(budgetMs, (this.longestMs.get(job) ?? 0) * kept);
		if (this.longestMs.has(job) || this.longestMs.size < maxJobs) {
			this.longestMs.set(job, longestMs);
		}

		return budgetMs < longestMs * usedShare;
	}
}
