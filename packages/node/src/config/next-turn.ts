import {staggeredWait} from '@medlarsaddle/control';
import type {Gossip} from '@medlarsaddle/members';

type Turn = {
	readonly gossip: Gossip;
	/** Role at the platform's store, and the number of members of each data centre that have it. */
	readonly role: string;
	readonly count: number;
	/** Time since an event that all holders of the role have seen at about the same time. */
	readonly elapsedMs: number;
	/** Time between the turns of one holder and the next. */
	readonly spacingMs: number;
};

/**
 * Returns the milliseconds until the next turn of this node among the holders of a role that reach
 * the platform's store. A node that is not among them takes the first turn.
 *
 * @example
 * const waitMs = nextTurn({gossip, role: 'configuration', count: 2, elapsedMs, spacingMs: 500});
 */
export const nextTurn = ({gossip, role, count, elapsedMs, spacingMs}: Turn): number => {
	const holders = gossip.storeRoleHolders(role, count);
	const slot = Math.max(0, holders.indexOf(gossip.self.id));
	return staggeredWait({elapsedMs, slot, holders: Math.max(1, holders.length), spacingMs});
};
