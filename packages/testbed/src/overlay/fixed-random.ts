import {pick} from '@medlarsaddle/core';
import type {Overlay} from './overlay.js';

const degree = 8;

/** Each member keeps the same few random neighbours. */
export const fixedRandom: Overlay = {
	name: 'fixedRandom',
	build(count, random) {
		const all = Array.from({length: count}, (_member, member) => member);
		return all.map(self => pick(all, degree + 1, random).filter(other => other !== self));
	},
};
