type Opts = {
	readonly ratio?: number;
	readonly maxTokens?: number;
};

/**
 * A retry budget that bounds retries to a share of first attempts, so that retries stop when they
 * would make an overload worse. Each first attempt adds `ratio` of a token; each retry takes a
 * whole token.
 *
 * @example
 * if (budget.spend()) {
 * 	retry();
 * }
 */
export class RetryBudget {
	/** Creates a budget with the maximum number of tokens. */
	static create({ratio = 0.1, maxTokens = 20}: Opts = {}): RetryBudget {
		return new RetryBudget(ratio, maxTokens, maxTokens);
	}

	private constructor(
		private readonly ratio: number,
		private readonly maxTokens: number,
		private tokens: number,
	) {}

	/** Records a first attempt. */
	noteFirstAttempt(): void {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.ratio);
	}

	/** Takes a token for a retry; false when there is none. */
	spend(): boolean {
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}
