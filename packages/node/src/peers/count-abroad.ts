import type {Gossip} from '@medlarsaddle/members';
import {messageTypes} from '@medlarsaddle/wire';
import type {Peers} from './peers.js';

type Deps = {
	readonly gossip: Gossip;
	readonly peers: Peers;
};

/**
 * Finds out in how many members of another data centre a section version is in force, through its
 * contacts; undefined when none answers.
 *
 * @example
 * const held = await countAbroad({gossip, peers}, 'dc2', 'base', 7);
 */
export const countAbroad = async (
	{gossip, peers}: Deps,
	dataCentre: string,
	section: string,
	version: number,
): Promise<{readonly held: number; readonly members: number} | undefined> => {
	for (const contact of gossip.contacts.of(dataCentre)) {
		const reply = await peers.ask(contact, id => ({
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
