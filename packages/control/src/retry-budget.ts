type Opts = {
	readonly ratio?: number;
	/** Tokens that may be saved, at the moment of asking; one at least can always be saved. */
	readonly maxTokens?: () => number;
};

/**
 * A retry budget that bounds retries to a share of first attempts, so that retries stop when they
 * would make an overload worse. Each first attempt adds `ratio` of a token; each retry takes a
 * whole token. A node may save its part of what all nodes together may save, and gives up the rest
 * when it learns of further nodes, so that many nodes which start at once and know none of the others
 * don't each take the part of all.
 *
 * @example
 * if (budget.spend()) {
 * 	retry();
 * }
 */
export class RetryBudget {
	/** Creates a budget with all tokens that may be saved. */
	static create({ratio = 0.1, maxTokens = () => 20}: Opts = {}): RetryBudget {
		return new RetryBudget(ratio, maxTokens, Math.max(1, maxTokens()));
	}

	private constructor(
		private readonly ratio: number,
		private readonly maxTokens: () => number,
		private tokens: number,
	) {}

	/** Records a first attempt. */
	noteFirstAttempt(): void {
		this.tokens = Math.min(this.capacity, this.tokens + this.ratio);
	}

	/** Takes a token for a retry; false when there is none. */
	spend(): boolean {
		this.tokens = Math.min(this.tokens, this.capacity);
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}

	private get capacity(): number {
		return Math.max(1, this.maxTokens());
	}
}
