import type {Gossip, Member} from '@medlarsaddle/members';
import {type MessageOf, messageTypes} from '@medlarsaddle/wire';
import type {Peers} from './peers.js';

type Deps = {
	readonly gossip: Gossip;
	readonly peers: Peers;
};

type HolderCount = {
	readonly held: number;
	readonly members: number;
};

/**
 * Counts the members of this data centre in which a section version is in force, by querying the
 * one member that collects this count.
 *
 * @example
 * const {held, members} = await countLocalHolders({gossip, peers}, 'base', 7);
 */
export const countLocalHolders = async (
	{gossip, peers}: Deps,
	section: string,
	version: number,
): Promise<HolderCount> => {
	const collector = gossip.rollout.collectorOf(section, version);
	if (collector.id === gossip.self.id) {
		return {held: gossip.rollout.count(section, version), members: gossip.table.alive.length};
	}

	return (
		(await requestCount(peers, collector, {section, version, isForCollector: true})) ?? {
			held: 0,
			members: gossip.table.alive.length,
		}
	);
};

/** Requests the count from a member; undefined when it does not answer. */
const requestCount = async (
	peers: Peers,
	member: Member,
	query: Pick<MessageOf<'count'>, 'section' | 'version' | 'isForCollector'>,
): Promise<HolderCount | undefined> => {
	const reply = await peers.request(member, id => ({type: messageTypes.count, id, ...query}));
	return reply?.type === messageTypes.counted ? reply : undefined;
};
