import type {Rumor} from './rumor.js';
import {rumorKinds} from './rumor-kinds.js';

/**
 * Identifies the subject of a rumor; a later rumor about the same subject replaces it.
 *
 * @example
 * queue.delete(rumorKey(rumor));
 */
export const rumorKey = (rumor: Rumor): string => {
	switch (rumor.kind) {
		case rumorKinds.member:
		case rumorKinds.contact: {
			return `${rumor.kind}:${rumor.member.id}`;
		}

		case rumorKinds.section: {
			return `${rumor.kind}:${rumor.name}`;
		}

		case rumorKinds.suspect: {
			return `${rumor.kind}:${rumor.id}`;
		}
	}
};
