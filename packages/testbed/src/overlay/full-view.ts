import type {Overlay} from './overlay.js';

/** Every member knows all others and sends to one at random. */
export const fullView: Overlay = {
	name: 'fullView',
	build: count =>
		Array.from({length: count}, (_member, self) =>
			Array.from({length: count}, (_other, other) => other).filter(other => other !== self),
		),
};
