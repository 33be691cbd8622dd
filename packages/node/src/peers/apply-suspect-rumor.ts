import type {Quarantine} from '@medlarsaddle/control';
import {type Log, events} from '@medlarsaddle/core';
import {type Rumor, rumorKinds} from '@medlarsaddle/members';

type Deps = {
	readonly quarantine: Quarantine;
	readonly log: Log;
};

/**
 * Merges a rumor about a suspected request into the quarantine; returns whether it was new. Rumors
 * of other kinds are ignored.
 *
 * @example
 * const isNew = applySuspectRumor({quarantine, log}, rumor);
 */
export const applySuspectRumor = ({quarantine, log}: Deps, rumor: Rumor): boolean => {
	if (rumor.kind !== rumorKinds.suspect) {
		return false;
	}

	const suspect = rumor.body as Parameters<Quarantine['merge']>[0];
	const isNew = quarantine.merge(suspect);
	if (isNew && quarantine.isHeld(suspect.fingerprint)) {
		const {fingerprint, service, job} = suspect;
		log(events.requestQuarantined, {fingerprint, service, job});
	}

	return isNew;
};
