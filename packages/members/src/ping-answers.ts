import {type Random, pick} from '@medlarsaddle/core';
import type {Address} from './address.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import type {Knowledge} from './knowledge.js';
import {memberStates} from './member-states.js';
import type {Outbox} from './outbox.js';
import {rumorKinds} from './rumor-kinds.js';
import type {Rumor} from './rumor.js';

type Opts = {
	readonly random: Random;
	readonly knowledge: Knowledge;
	readonly outbox: Outbox;
};

/**
 * Answers pings: with news for a member of this group, with a few members to know for one of another
 * group.
 *
 * @example
 * answers.answer(ping, from);
 */
export class PingAnswers {
	/** Creates answers from what a node knows. */
	static create(opts: Opts): PingAnswers {
		return new PingAnswers(opts);
	}

	private constructor(private readonly opts: Opts) {}

	/** Answers one ping. */
	answer(ping: Datagram, from: Address): void {
		const {knowledge, outbox} = this.opts;
		const isHome = ping.group === knowledge.self.group;
		const known = isHome ? knowledge.table.get(ping.from) : undefined;
		const isDown = known && known.state !== memberStates.alive;
		const rumors = isHome
			? [...(isDown ? [{kind: rumorKinds.member, member: known} as const] : []), ...outbox.news()]
			: [...this.contactsOffered(), ...this.introduce(ping.group)];
		if (isHome && (!known || ping.isStranger)) {
			rumors.unshift(outbox.ownRumor());
		}

		outbox.send(from, datagramTypes.ack, rumors, {seq: ping.seq, isStranger: isHome && !known});
	}

	/** A few members of this group, for one in another to keep as contacts. */
	private contactsOffered(): Rumor[] {
		const {knowledge, random} = this.opts;
		const {self, table} = knowledge;
		const others = table.alive.filter(({id}) => id !== self.id);
		const offered = [self, ...pick(others, 2, random)];
		return offered.map(member => ({kind: rumorKinds.contact, member}));
	}

	/** Members of a group that is not ours, for one of them that may not know the others yet. */
	private introduce(group: string): Rumor[] {
		return this.opts.knowledge.contacts
			.of(group)
			.map(member => ({kind: rumorKinds.member, member}));
	}
}
