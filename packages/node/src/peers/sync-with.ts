import type {Gossip, Member} from '@medlarsaddle/members';
import type {Section} from '@medlarsaddle/policy';
import {messageTypes} from '@medlarsaddle/wire';
import type {Config} from '../config/config.js';
import type {Peers} from './peers.js';

type Deps = {
	readonly peers: Peers;
	readonly config: Config;
	readonly gossip: Gossip;
};

/**
 * Fetches policy sections that are newer on another member, and its member table if it is in the
 * same group.
 *
 * @example
 * await syncWith({peers, config, gossip}, member);
 */
export const syncWith = async ({peers, config, gossip}: Deps, member: Member): Promise<void> => {
	const wantsMembers = member.group === gossip.self.group;
	const reply = await peers.request(member, id => ({
		type: messageTypes.sync,
		id,
		versions: config.versions,
		wantsMembers,
	}));
	if (reply?.type !== messageTypes.synced) {
		return;
	}

	gossip.mergeMembers(reply.members);
	for (const section of reply.sections as Section[]) {
		config.apply(section, member.id);
	}
};
