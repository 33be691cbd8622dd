import {type Clock, type Log, events} from '@medlarsaddle/core';
import {Contacts} from './contacts.js';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import {MemberTable} from './member-table.js';
import type {Rumor} from './rumor.js';
import {rumorKinds} from './rumor-kinds.js';
import {RumorQueue} from './rumor-queue.js';
import {supersedes} from './supersedes.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly self: Member;
	readonly sizeOf: (rumor: Rumor) => number;
	readonly onMembersChanged: () => void;
	/**
	 * Called when another process runs under this node's ID. Returns true to override it and keep the
	 * ID.
	 */
	readonly onIdConflict: () => boolean;
	/**
	 * Called with a rumor of this node's own record after it overrode a record received from others.
	 */
	readonly onRefuted: (rumor: Rumor) => void;
};

/** Once this many contacts of a group are known, new ones are not passed on. */
const sufficientContacts = 2;

/**
 * The members that a node knows, and the rumors that it still has to send.
 *
 * @example
 * const isNew = membership.apply(rumor);
 */
export class Membership {
	/** Creates the membership of a node that knows only itself. */
	static create(opts: Opts): Membership {
		return new Membership(opts);
	}

	readonly table: MemberTable;
	readonly contacts = Contacts.create();
	readonly queue: RumorQueue;
	private ownRecord: Member;

	private constructor(private readonly opts: Opts) {
		this.table = MemberTable.create(opts.clock);
		this.queue = RumorQueue.create(opts.sizeOf);
		this.ownRecord = opts.self;
		this.table.merge(this.ownRecord);
	}

	/** This node's own record. */
	get self(): Member {
		return this.ownRecord;
	}

	/** Changes this node's own record. */
	updateSelf(change: Partial<Member>): void {
		this.ownRecord = {...this.ownRecord, ...change, version: this.ownRecord.version + 1};
		this.table.merge(this.ownRecord);
		this.opts.onMembersChanged();
	}

	/** Applies a rumor about a member. Returns true when it was new and should be passed on. */
	apply(rumor: Extract<Rumor, {readonly member: Member}>): boolean {
		return rumor.kind === rumorKinds.member
			? this.applyMember(rumor.member)
			: this.mergeContact(rumor.member);
	}

	/**
	 * Applies a record of a member of any group. Returns true when it was new and should be passed
	 * on.
	 */
	applyMember(received: Member): boolean {
		if (received.group !== this.ownRecord.group) {
			return this.mergeContact(received);
		}

		const isNew = this.merge(received);
		if (isNew) {
			this.queue.add({kind: rumorKinds.member, member: received});
		}

		return isNew;
	}

	/**
	 * Merges a record of a member of this group without passing it on. Returns true when it was new.
	 */
	merge(received: Member): boolean {
		if (received.id === this.ownRecord.id) {
			this.mergeSelf(received);
			return false;
		}

		const previous = this.table.get(received.id);
		if (!this.table.merge(received)) {
			return false;
		}

		this.logChange(previous, received);
		this.opts.onMembersChanged();
		return true;
	}

	/**
	 * Merges a member of another group, and passes it on while few members of that group are known.
	 */
	private mergeContact(member: Member): boolean {
		const knownCount = this.contacts.of(member.group).length;
		if (member.group === this.ownRecord.group || !this.contacts.merge(member)) {
			return false;
		}

		this.opts.onMembersChanged();
		if (knownCount >= sufficientContacts) {
			return false;
		}

		this.queue.add({kind: rumorKinds.contact, member});
		return true;
	}

	private mergeSelf(received: Member): void {
		if (received.incarnation > this.ownRecord.incarnation) {
			if (this.opts.onIdConflict()) {
				this.ownRecord = {...this.ownRecord, incarnation: received.incarnation + 1};
				this.updateSelf({});
				this.opts.onRefuted({kind: rumorKinds.member, member: this.ownRecord});
			}

			return;
		}

		if (
			received.incarnation === this.ownRecord.incarnation &&
			supersedes(received, this.ownRecord)
		) {
			this.opts.log(events.memberRefuted, {heard: received.state});
			this.ownRecord = {...this.ownRecord, version: received.version};
			this.updateSelf({});
			this.opts.onRefuted({kind: rumorKinds.member, member: this.ownRecord});
		}
	}

	private logChange(previous: Member | undefined, received: Member): void {
		const fields = {member: received.id, state: received.state, incarnation: received.incarnation};
		if (received.state === memberStates.suspect) {
			this.opts.log(events.memberSuspected, fields);
		} else if (received.state !== memberStates.alive) {
			this.opts.log(events.memberLeft, fields);
		} else if (previous?.incarnation !== received.incarnation) {
			this.opts.log(events.memberJoined, fields);
		}
	}
}
