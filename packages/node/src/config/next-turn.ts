import {staggeredWait} from '@medlarsaddle/control';
import type {Gossip, StoreRole} from '@medlarsaddle/members';

type Turn = {
	readonly gossip: Gossip;
	readonly role: StoreRole;
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
 * const waitMs = nextTurn({gossip, role: reader, elapsedMs, spacingMs: 500});
 */
export const nextTurn = ({gossip, role, elapsedMs, spacingMs}: Turn): number => {
	const holders = gossip.storeRoleHolders(role);
	const slot = Math.max(0, holders.indexOf(gossip.self.id));
	return staggeredWait({elapsedMs, slot, holders: Math.max(1, holders.length), spacingMs});
};
