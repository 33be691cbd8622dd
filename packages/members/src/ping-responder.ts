import {type Random, pick} from '@medlarsaddle/core';
import type {Address} from './address.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import type {Membership} from './membership.js';
import {memberStates} from './member-states.js';
import type {DatagramSender} from './datagram-sender.js';
import {rumorKinds} from './rumor-kinds.js';
import type {Rumor} from './rumor.js';

type Opts = {
	readonly random: Random;
	readonly membership: Membership;
	readonly datagramSender: DatagramSender;
};

/**
 * Acknowledges pings: to a member of this group with pending rumors, to one of another group with a
 * few contacts here and the known members of its own group.
 *
 * @example
 * pingResponder.respond(ping, from);
 */
export class PingResponder {
	/** Creates a responder for a node. */
	static create(opts: Opts): PingResponder {
		return new PingResponder(opts);
	}

	private constructor(private readonly opts: Opts) {}

	/** Acknowledges a ping. */
	respond(ping: Datagram, from: Address): void {
		const {membership, datagramSender} = this.opts;
		const isSameGroup = ping.group === membership.self.group;
		const known = isSameGroup ? membership.table.get(ping.from) : undefined;
		const isSuspectOrDown = known && known.state !== memberStates.alive;
		const rumors = isSameGroup
			? [
					...(isSuspectOrDown ? [{kind: rumorKinds.member, member: known} as const] : []),
					...datagramSender.takeRumors(),
				]
			: [...this.contactRumors(), ...this.memberRumorsOf(ping.group)];
		if (isSameGroup && (!known || ping.isStranger)) {
			rumors.unshift(datagramSender.selfRumor());
		}

		datagramSender.send(from, datagramTypes.ack, rumors, {
			seq: ping.seq,
			isStranger: isSameGroup && !known,
		});
	}

	/** Rumors of a few members of this group, for a member of another group to keep as contacts. */
	private contactRumors(): Rumor[] {
		const {membership, random} = this.opts;
		const {self, table} = membership;
		const others = table.alive.filter(({id}) => id !== self.id);
		const offered = [self, ...pick(others, 2, random)];
		return offered.map(member => ({kind: rumorKinds.contact, member}));
	}

	/** Rumors of known members of another group, for one of them that may not know the others yet. */
	private memberRumorsOf(group: string): Rumor[] {
		return this.opts.membership.contacts
			.of(group)
			.map(member => ({kind: rumorKinds.member, member}));
	}
}
