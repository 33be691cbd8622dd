/**
 * A rank is admitted at least this share of the next more urgent rank's share, so that an overload
 * of one rank cannot starve another permanently.
 */
const minShareOfNextRank = 0.5;

/** Lower bound for the share of the most urgent rank. */
const minFirstRankShare = 0.05;

/**
 * Divides a budget of work among ranks, most urgent first: each element of the result is the share
 * of a rank's offered work that is admitted. The least urgent rank is cut first, down to half of
 * the share of the rank above it, then both of these ranks together, and so on.
 *
 * @example
 * sharesByRank([10, 60, 30], 85); // [1, 1, 0.5]
 */
export const sharesByRank = (offered: readonly number[], budget: number): number[] => {
	const total = offered.reduce((sum, work) => sum + work, 0);
	const shares = offered.map(() => 1);
	if (total <= budget) {
		return shares;
	}

	for (let firstCut = offered.length - 1; firstCut >= 0; firstCut--) {
		const uncutWork = offered.slice(0, firstCut).reduce((sum, work) => sum + work, 0);
		// Work of the ranks from `firstCut` on if `firstCut` itself is admitted in full.
		const cutWork = offered
			.slice(firstCut)
			.reduce((sum, work, offset) => sum + work * minShareOfNextRank ** offset, 0);
		const share = cutWork > 0 ? (budget - uncutWork) / cutWork : 1;
		const minShare = firstCut === 0 ? minFirstRankShare : minShareOfNextRank;
		if (share >= minShare || firstCut === 0) {
			const admitted = Math.min(1, Math.max(minShare, share));
			return shares.map((uncutShare, rank) =>
				rank < firstCut ? uncutShare : admitted * minShareOfNextRank ** (rank - firstCut),
			);
		}
	}

	return shares;
};
