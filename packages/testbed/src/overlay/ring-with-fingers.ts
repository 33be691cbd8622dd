import type {Overlay} from './overlay.js';

/** Members form a ring, and each knows those at distances of powers of two. */
export const ringWithFingers: Overlay = {
	name: 'ringWithFingers',
	build(count) {
		const distances = Array.from(
			{length: Math.ceil(Math.log2(count))},
			(_value, power) => 2 ** power,
		);
		return Array.from({length: count}, (_member, self) =>
			distances.map(distance => (self + distance) % count),
		);
	},
};
