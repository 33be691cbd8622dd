import {rendezvous} from '@medlarsaddle/core';
import type {Member} from './member.js';
import type {MemberTable} from './member-table.js';

/**
 * Assigns roles to a few members of a group. Every node computes them from its own member table
 * without coordination, so two nodes whose tables differ may both take the same role.
 *
 * @example
 * if (roles.hasRole('gateway', 2)) {
 * 	probeContacts();
 * }
 */
export class Roles {
	/** Creates the roles as seen by the member `selfId`. */
	static create(table: MemberTable, selfId: string): Roles {
		return new Roles(table, selfId);
	}

	private readonly cache = new Map<string, boolean>();
	private cachedMembers: readonly Member[] | undefined;

	private constructor(
		private readonly table: MemberTable,
		private readonly selfId: string,
	) {}

	/** Whether this node is one of the `count` members that have a role. */
	hasRole(role: string, count: number): boolean {
		// Cached, since it is queried for each message and changes only with the list of members.
		if (this.cachedMembers !== this.table.alive) {
			this.cachedMembers = this.table.alive;
			this.cache.clear();
		}

		const cached = this.cache.get(role);
		if (cached !== undefined) {
			return cached;
		}

		const hasRole = rendezvous(role, this.ids, count).includes(this.selfId);
		this.cache.set(role, hasRole);
		return hasRole;
	}

	/** The holder of a role that exactly one member has. */
	holderOf(role: string): Member | undefined {
		const [id] = rendezvous(role, this.ids, 1);
		return id === undefined ? undefined : this.table.get(id);
	}

	private get ids(): string[] {
		return this.table.alive.map(({id}) => id);
	}
}
