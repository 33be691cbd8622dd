/**
 * Source of random numbers. It is passed as an argument so that a run can be reproduced from its
 * seed.
 *
 * @example
 * const jitterMs = random.next() * maxJitterMs;
 */
export type Random = {
	/** A number in the range [0, 1). */
	next(): number;
	/** An integer in the range [0, `bound`). */
	below(bound: number): number;
};
