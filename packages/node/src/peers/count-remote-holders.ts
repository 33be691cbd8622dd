import type {Gossip} from '@medlarsaddle/members';
import {messageTypes} from '@medlarsaddle/wire';
import type {Peers} from './peers.js';

type Deps = {
	readonly gossip: Gossip;
	readonly peers: Peers;
};

/**
 * Counts the members of another data centre in which a section version is in force, by querying the
 * contacts in it one after another; undefined when none answers.
 *
 * @example
 * const count = await countRemoteHolders({gossip, peers}, 'dc2', 'base', 7);
 */
export const countRemoteHolders = async (
	{gossip, peers}: Deps,
	dataCentre: string,
	section: string,
	version: number,
): Promise<{readonly held: number; readonly members: number} | undefined> => {
	for (const contact of gossip.contacts.of(dataCentre)) {
		const reply = await peers.request(contact, id => ({
			type: messageTypes.count,
			id,
			section,
			version,
			isForCollector: false,
		}));
		if (reply?.type === messageTypes.counted) {
			return reply;
		}
	}

	return undefined;
};
