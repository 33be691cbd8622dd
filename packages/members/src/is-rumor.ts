import {isMember} from './is-member.js';
import type {Rumor} from './rumor.js';
import {rumorKinds} from './rumor-kinds.js';

/**
 * Whether a received value is a rumor of a known kind with the fields of that kind.
 *
 * @example
 * const rumors = datagram.rumors.filter(value => isRumor(value));
 */
export const isRumor = (value: unknown): value is Rumor => {
	const rumor = value as Partial<Record<string, unknown>> | null | undefined;
	switch (rumor?.kind) {
		case rumorKinds.member:
		case rumorKinds.contact: {
			return isMember(rumor.member);
		}

		case rumorKinds.section: {
			return typeof rumor.name === 'string' && Number.isSafeInteger(rumor.version);
		}

		case rumorKinds.suspect: {
			const body = rumor.body as Partial<Record<string, unknown>> | null | undefined;
			return (
				typeof rumor.id === 'string' &&
				typeof body?.fingerprint === 'string' &&
				Array.isArray(body.crashes) &&
				Number.isFinite(body.expiresMs)
			);
		}

		default: {
			return false;
		}
	}
};
