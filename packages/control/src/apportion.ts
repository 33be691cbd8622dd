/**
 * Divides a capacity among ranks. Each rank first gets its demand up to its floor; the rest goes to
 * the ranks in order, most urgent first. Capacity of an unused floor goes to the other ranks. The
 * sum of the grants never exceeds the capacity, and no grant exceeds the demand of its rank.
 *
 * @example
 * apportion([50, 100], 100, [0, 0.1]); // [50, 50]
 */
export const apportion = (
	demands: readonly number[],
	capacity: number,
	floors: readonly number[],
): number[] => {
	const grants = demands.map((demand, rank) => Math.min(demand, (floors[rank] ?? 0) * capacity));
	const floorSum = grants.reduce((sum, grant) => sum + grant, 0);
	const scale = floorSum > capacity ? capacity / floorSum : 1;
	let remaining = Math.max(0, capacity - floorSum);
	return grants.map((grant, rank) => {
		const extra = Math.min(remaining, Math.max(0, demands[rank]! - grant));
		remaining -= extra;
		return grant * scale + extra;
	});
};
