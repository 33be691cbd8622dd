import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from './random.js';

const twoTo32 = 2 ** 32;

/**
 * Creates a deterministic generator: the same seed yields the same numbers.
 *
 * @example
 * const random = createRandom(42);
 */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	const next = () => (generator.next() >>> 0) / twoTo32;
	return {next, below: bound => Math.floor(next() * bound)};
};
