import type {Random} from './random.js';

/**
 * Picks up to `count` distinct items uniformly at random. The input array is not modified.
 *
 * @example
 * const targets = pick(peers, 3, random);
 */
export const pick = <T>(items: readonly T[], count: number, random: Random): T[] => {
	const pool = [...items];
	const picked: T[] = [];
	while (picked.length < count && pool.length > 0) {
		const index = random.below(pool.length);
		const last = pool.pop()!;
		if (index === pool.length) {
			picked.push(last);
		} else {
			picked.push(pool[index]!);
			pool[index] = last;
		}
	}

	return picked;
};
