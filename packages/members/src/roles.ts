import {rendezvous} from '@medlarsaddle/core';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import type {MemberTable} from './member-table.js';
import type {StoreRole} from './store-role.js';

const standbysPerMemberInTrouble = 2;

/** Share of members that have lost the store above which it fails everyone, standbys included. */
const commonLossShare = 1 / 3;

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
		return this.cached(role, () => rendezvous(role, this.ids, count).includes(this.selfId));
	}

	/**
	 * Whether this node is one of the members of its data centre that have a role at the platform's
	 * store. Members that are suspect or have lost the store are passed over while others remain. For
	 * each of them in any data centre, two more members take the role, unless the store fails most: what has
	 * befallen one may have befallen all that had it, which takes them a while to find out.
	 */
	hasStoreRole(role: StoreRole): boolean {
		return this.cached(`store ${role.name}`, () => {
			const dataCentre = this.table.get(this.selfId)?.dataCentre;
			const local = this.table.alive.filter(member => member.dataCentre === dataCentre);
			const able = local.filter(member => isAble(member));
			const candidates = able.length > 0 ? able : local;
			const ids = candidates.map(({id}) => id);
			return rendezvous(role.name, ids, this.countOf(role)).includes(this.selfId);
		});
	}

	/**
	 * IDs of the members of all data centres that have a role at the platform's store and are able to
	 * reach it, in an order in which those of one data centre stand far apart. Members with the same
	 * table get the same order.
	 */
	storeRoleHolders(role: StoreRole): readonly string[] {
		const count = this.countOf(role);
		const able = this.table.alive.filter(member => isAble(member));
		const dataCentres = [...new Set(able.map(({dataCentre}) => dataCentre))].toSorted();
		const holders = dataCentres.map(dataCentre => {
			const ids = able.filter(member => member.dataCentre === dataCentre).map(({id}) => id);
			return rendezvous(role.name, ids, count);
		});
		return Array.from({length: count}, (_, index) =>
			holders.flatMap(ids => ids.slice(index, index + 1)),
		).flat();
	}

	/** The holder of a role that exactly one member has. */
	holderOf(role: string): Member | undefined {
		const [id] = rendezvous(role, this.ids, 1);
		return id === undefined ? undefined : this.table.get(id);
	}

	/** Cached, since roles are queried for each message and change only with the list of members. */
	private cached(key: string, compute: () => boolean): boolean {
		if (this.cachedMembers !== this.table.alive) {
			this.cachedMembers = this.table.alive;
			this.cache.clear();
		}

		const known = this.cache.get(key);
		if (known !== undefined) {
			return known;
		}

		const hasRole = compute();
		this.cache.set(key, hasRole);
		return hasRole;
	}

	private countOf({count, maxCount}: StoreRole): number {
		const {alive} = this.table;
		const inTrouble = alive.filter(member => !isAble(member)).length;
		const lost = alive.filter(({hasLostStore}) => hasLostStore).length;
		return lost > alive.length * commonLossShare
			? count
			: Math.min(maxCount, count + inTrouble * standbysPerMemberInTrouble);
	}

	private get ids(): string[] {
		return this.table.alive.map(({id}) => id);
	}
}

/** Whether a member can take a role at the platform's store, as far as is known. */
const isAble = ({state, hasLostStore}: Member): boolean =>
	state === memberStates.alive && !hasLostStore;
