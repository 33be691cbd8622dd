/**
 * A rank keeps at least this share of what the next more urgent rank keeps, so that a flood in one
 * rank cannot starve another for good.
 */
const keptOfNext = 0.5;

/** The most urgent rank is never cut further than this. */
const leastOfFirst = 0.05;

/**
 * Divides a budget of work among ranks, most urgent first: each element of the result is the share of
 * a rank's work that is admitted. The least urgent rank is cut first, down to half of the share of the
 * rank above it, then that rank with it, and so on.
 *
 * @example
 * sharesByRank([10, 60, 30], 85); // [1, 1, 0.5]
 */
export const sharesByRank = (wanted: readonly number[], budget: number): number[] => {
	const total = wanted.reduce((sum, work) => sum + work, 0);
	const shares = wanted.map(() => 1);
	if (total <= budget) {
		return shares;
	}

	for (let first = wanted.length - 1; first >= 0; first--) {
		const kept = wanted.slice(0, first).reduce((sum, work) => sum + work, 0);
		// Work of the ranks from `first` on when `first` itself is admitted whole.
		const cut = wanted
			.slice(first)
			.reduce((sum, work, below) => sum + work * keptOfNext ** below, 0);
		const share = cut > 0 ? (budget - kept) / cut : 1;
		const least = first === 0 ? leastOfFirst : keptOfNext;
		if (share >= least || first === 0) {
			const admitted = Math.min(1, Math.max(least, share));
			return shares.map((whole, rank) =>
				rank < first ? whole : admitted * keptOfNext ** (rank - first),
			);
		}
	}

	return shares;
};
