type Turn = {
	/** Time since an event that all holders of a role have seen at about the same time. */
	readonly elapsedMs: number;
	/** Position of the holder among all, from 0. */
	readonly slot: number;
	readonly holders: number;
	/** Time between the turns of one holder and the next, in milliseconds. */
	readonly spacingMs: number;
};

/** Share of the spacing below which a turn counts as taken: a timer may fire slightly early. */
const minWaitRatio = 0.1;

/**
 * Returns the milliseconds until the next turn of one holder of a role. Together the holders take a
 * turn every `spacingMs`, so that the time in which one of them acts does not grow with their
 * number, nor the rate at which they act.
 *
 * @example
 * const waitMs = staggeredWait({elapsedMs: 200, slot: 1, holders: 6, spacingMs: 500}); // 800
 */
export const staggeredWait = ({elapsedMs, slot, holders, spacingMs}: Turn): number => {
	const periodMs = holders * spacingMs;
	const firstTurnMs = (slot + 1) * spacingMs;
	const turns = Math.ceil((elapsedMs - firstTurnMs + spacingMs * minWaitRatio) / periodMs);
	return firstTurnMs + Math.max(0, turns) * periodMs - elapsedMs;
};
