import type {Random} from '@medlarsaddle/core';

/**
 * An overlay network: a rule for the neighbours that each member sends to.
 *
 * @example
 * const edges = overlay.build(940, random);
 */
export type Overlay = {
	readonly name: string;
	/** Returns the neighbours of each member; members are numbered from 0. */
	build(count: number, random: Random): number[][];
};
