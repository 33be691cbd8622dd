import type {Random} from '@medlarsaddle/core';
import type {Overlay} from './overlay.js';

const degree = 8;
const operationsPerMember = 20;

/**
 * A digraph of fixed out-degree, randomized by the Pointer-Push&Pull operation (Janson, 2006,
 * section 2.1): a random walk takes two steps from a member, and its two edges are exchanged.
 */
export const pointerPushPull: Overlay = {
	name: 'pointerPushPull',
	build(count, random) {
		const edges = Array.from({length: count}, (_member, self) =>
			Array.from({length: degree}, (_edge, index) => (self + index + 1) % count),
		);
		for (let operation = 0; operation < count * operationsPerMember; operation++) {
			exchange(edges, random.below(count), random);
		}

		return edges.map((neighbours, self) => neighbours.filter(other => other !== self));
	},
};

const exchange = (edges: number[][], start: number, random: Random): void => {
	const first = random.below(degree);
	const middle = edges[start]![first]!;
	const second = random.below(degree);
	const end = edges[middle]![second]!;
	edges[middle]![second] = start;
	edges[start]![first] = end;
};
