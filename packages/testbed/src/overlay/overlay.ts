import type {Random} from '@medlarsaddle/core';

/**
 * A way to choose whom each member talks to.
 *
 * @example
 * const edges = overlay.build(940, random);
 */
export type Overlay = {
	readonly name: string;
	/** Neighbours of each member, by number. */
	build(count: number, random: Random): number[][];
};
