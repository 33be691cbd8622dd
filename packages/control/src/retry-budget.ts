type Opts = {
	readonly ratio?: number;
	/** Tokens that may be saved, at the moment of asking; one at least can always be saved. */
	readonly maxTokens?: () => number;
};

/** Tokens at the start: before other nodes are known, one node must not take the share of all. */
const firstTokens = 1;

/**
 * A retry budget that bounds retries to a share of first attempts, so that retries stop when they
 * would make an overload worse. Each first attempt adds `ratio` of a token; each retry takes a
 * whole token. A node may save its part of what all nodes together may save, so the budget holds for
 * the deployment when many nodes start at once and none of them knows the others yet.
 *
 * @example
 * if (budget.spend()) {
 * 	retry();
 * }
 */
export class RetryBudget {
	/** Creates a budget with a token, or less if less than one may be saved. */
	static create({ratio = 0.1, maxTokens = () => 20}: Opts = {}): RetryBudget {
		return new RetryBudget(ratio, maxTokens, Math.min(firstTokens, maxTokens()));
	}

	private constructor(
		private readonly ratio: number,
		private readonly maxTokens: () => number,
		private tokens: number,
	) {}

	/** Records a first attempt. */
	noteFirstAttempt(): void {
		this.tokens = Math.min(Math.max(1, this.maxTokens()), this.tokens + this.ratio);
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
