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
	/** Called when another process has taken this node's ID; true to outbid it and keep the ID. */
	readonly onReplaced: () => boolean;
	/** Called with this node's own record after it overrode news of its failure. */
	readonly onRefuted: (rumor: Rumor) => void;
};

const enoughContacts = 2;

/**
 * What a node knows of members, and the news about them that it still has to pass on.
 *
 * @example
 * const isNews = knowledge.learn(rumor);
 */
export class Knowledge {
	/** Creates the knowledge of a node that knows only itself. */
	static create(opts: Opts): Knowledge {
		return new Knowledge(opts);
	}

	readonly table: MemberTable;
	readonly contacts = Contacts.create();
	readonly queue: RumorQueue;
	private me: Member;

	private constructor(private readonly opts: Opts) {
		this.table = MemberTable.create(opts.clock);
		this.queue = RumorQueue.create(opts.sizeOf);
		this.me = opts.self;
		this.table.merge(this.me);
	}

	/** This node's own record. */
	get self(): Member {
		return this.me;
	}

	/** Changes this node's own record. */
	changeSelf(change: Partial<Member>): void {
		this.me = {...this.me, ...change, version: this.me.version + 1};
		this.table.merge(this.me);
		this.opts.onMembersChanged();
	}

	/** Takes in a rumor about a member; true when it was news to be passed on. */
	learn(rumor: Extract<Rumor, {readonly member: Member}>): boolean {
		return rumor.kind === rumorKinds.member
			? this.learnMember(rumor.member)
			: this.learnContact(rumor.member);
	}

	/** Takes in a member of any group; true when it was news to be passed on. */
	learnMember(heard: Member): boolean {
		if (heard.group !== this.me.group) {
			return this.learnContact(heard);
		}

		const isNews = this.merge(heard);
		if (isNews) {
			this.queue.add({kind: rumorKinds.member, member: heard});
		}

		return isNews;
	}

	/** Takes in a member of this group without passing it on; true when it was news. */
	merge(heard: Member): boolean {
		if (heard.id === this.me.id) {
			this.learnOfSelf(heard);
			return false;
		}

		const before = this.table.get(heard.id);
		if (!this.table.merge(heard)) {
			return false;
		}

		this.logChange(before, heard);
		this.opts.onMembersChanged();
		return true;
	}

	/** Takes in a member of another group; passes it on while few of that one are known. */
	private learnContact(member: Member): boolean {
		const known = this.contacts.of(member.group).length;
		if (member.group === this.me.group || !this.contacts.merge(member)) {
			return false;
		}

		this.opts.onMembersChanged();
		if (known >= enoughContacts) {
			return false;
		}

		this.queue.add({kind: rumorKinds.contact, member});
		return true;
	}

	private learnOfSelf(heard: Member): void {
		if (heard.incarnation > this.me.incarnation) {
			if (this.opts.onReplaced()) {
				this.me = {...this.me, incarnation: heard.incarnation + 1};
				this.changeSelf({});
				this.opts.onRefuted({kind: rumorKinds.member, member: this.me});
			}

			return;
		}

		if (heard.incarnation === this.me.incarnation && supersedes(heard, this.me)) {
			this.opts.log(events.memberRefuted, {heard: heard.state});
			this.me = {...this.me, version: heard.version};
			this.changeSelf({});
			this.opts.onRefuted({kind: rumorKinds.member, member: this.me});
		}
	}

	private logChange(before: Member | undefined, heard: Member): void {
		const fields = {member: heard.id, state: heard.state, incarnation: heard.incarnation};
		if (heard.state === memberStates.suspect) {
			this.opts.log(events.memberSuspected, fields);
		} else if (heard.state !== memberStates.alive) {
			this.opts.log(events.memberLeft, fields);
		} else if (before?.incarnation !== heard.incarnation) {
			this.opts.log(events.memberJoined, fields);
		}
	}
}
