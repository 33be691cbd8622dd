/**
 * The retries that remain for one root request. A share is split off for each downstream call, and
 * the unspent part of it is refunded. Only the root request creates retries.
 *
 * @example
 * const allowance = RetryAllowance.of(3);
 * const share = allowance.split();
 * allowance.refund(share - spent);
 */
export class RetryAllowance {
	/** Creates an allowance of `retries` retries. */
	static of(retries: number): RetryAllowance {
		return new RetryAllowance(Math.max(0, Math.floor(retries)));
	}

	private constructor(private retriesLeft: number) {}

	/** Retries left. */
	get remaining(): number {
		return this.retriesLeft;
	}

	/** Spends one retry; false when none is left. */
	spend(): boolean {
		if (this.retriesLeft === 0) {
			return false;
		}

		this.retriesLeft--;
		return true;
	}

	/** Splits off half of the remaining retries, rounded up, for a downstream call. */
	split(): number {
		const share = Math.ceil(this.retriesLeft / 2);
		this.retriesLeft -= share;
		return share;
	}

	/** Takes all remaining retries, for return to the call that they were split from. */
	takeAll(): number {
		const all = this.retriesLeft;
		this.retriesLeft = 0;
		return all;
	}

	/** Refunds the retries that a downstream call did not spend. */
	refund(unspent: number): void {
		this.retriesLeft += Math.max(0, Math.floor(unspent));
	}
}
