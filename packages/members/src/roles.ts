import {rendezvous} from '@medlarsaddle/core';
import type {Member} from './member.js';
import type {MemberTable} from './member-table.js';

/**
 * Roles that a few members of a data centre have. Every node works them out from its own table, so
 * nothing has to be agreed; two nodes whose tables differ may both take one.
 *
 * @example
 * if (roles.isChosen('gateway', 2)) {
 * 	probeContacts();
 * }
 */
export class Roles {
	/** Creates the roles of the member `selfId`. */
	static create(table: MemberTable, selfId: string): Roles {
		return new Roles(table, selfId);
	}

	private readonly known = new Map<string, boolean>();
	private knownFor: readonly Member[] | undefined;

	private constructor(
		private readonly table: MemberTable,
		private readonly selfId: string,
	) {}

	/** Whether this node is among the `count` that have a role. */
	isChosen(role: string, count: number): boolean {
		// The answer changes only with the list of members, and is asked for with each message.
		if (this.knownFor !== this.table.alive) {
			this.knownFor = this.table.alive;
			this.known.clear();
		}

		const known = this.known.get(role);
		if (known !== undefined) {
			return known;
		}

		const isChosen = rendezvous(role, this.ids, count).includes(this.selfId);
		this.known.set(role, isChosen);
		return isChosen;
	}

	/** The member that has a role of one. */
	holderOf(role: string): Member | undefined {
		const [id] = rendezvous(role, this.ids, 1);
		return id === undefined ? undefined : this.table.get(id);
	}

	private get ids(): string[] {
		return this.table.alive.map(({id}) => id);
	}
}
