/** A caller with less than this share of its job's full time budget left is retrying. */
const retryThresholdShare = 0.95;

/**
 * Decay of the longest budget with each request, so that it follows when callers use a shorter one.
 */
const longestBudgetDecay = 0.9995;
const maxJobs = 2000;

/**
 * Detects retries of callers by their remaining time budget. All callers of a job start with the
 * same budget, so a caller that has spent part of it is retrying.
 *
 * @example
 * detector.isRetry('PAY', 5000); // false
 * detector.isRetry('PAY', 4000); // true
 */
export class RetryDetector {
	/** Creates a detector without jobs. */
	static create(): RetryDetector {
		return new RetryDetector();
	}

	private readonly longestBudgetMs = new Map<string, number>();

	private constructor() {}

	/**
	 * Whether a caller of a job with `budgetMs` left is retrying; false when its budget is unknown.
	 */
	isRetry(job: string, budgetMs: number | undefined): boolean {
		if (budgetMs === undefined) {
			return false;
		}

		const longestBudgetMs = Math.max(
			budgetMs,
			(this.longestBudgetMs.get(job) ?? 0) * longestBudgetDecay,
		);
		if (this.longestBudgetMs.has(job) || this.longestBudgetMs.size < maxJobs) {
			this.longestBudgetMs.set(job, longestBudgetMs);
		}

		return budgetMs < longestBudgetMs * retryThresholdShare;
	}
}
