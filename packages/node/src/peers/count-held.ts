import type {Gossip, Member} from '@medlarsaddle/members';
import {type MessageOf, messageTypes} from '@medlarsaddle/wire';
import type {Peers} from './peers.js';

type Deps = {
	readonly gossip: Gossip;
	readonly peers: Peers;
};

type Held = {
	readonly held: number;
	readonly members: number;
};

/**
 * Finds out in how many members of this data centre a section version is in force, by asking the one
 * member that collects it.
 *
 * @example
 * const {held, members} = await countHeld({gossip, peers}, 'base', 7);
 */
export const countHeld = async (
	{gossip, peers}: Deps,
	section: string,
	version: number,
): Promise<Held> => {
	const collector = gossip.rollout.collectorOf(section, version);
	if (collector.id === gossip.self.id) {
		return {held: gossip.rollout.count(section, version), members: gossip.table.alive.length};
	}

	return (
		(await askFor(peers, collector, {section, version, isForCollector: true})) ?? {
			held: 0,
			members: gossip.table.alive.length,
		}
	);
};

/** Asks a member for its count; undefined when it does not answer. */
const askFor = async (
	peers: Peers,
	member: Member,
	question: Pick<MessageOf<'count'>, 'section' | 'version' | 'isForCollector'>,
): Promise<Held | undefined> => {
	const reply = await peers.ask(member, id => ({type: messageTypes.count, id, ...question}));
	return reply?.type === messageTypes.counted ? reply : undefined;
};
