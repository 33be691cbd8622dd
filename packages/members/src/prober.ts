import {type Clock, type Random, pick} from '@medlarsaddle/core';
import type {Address} from './address.js';
import {addressOf} from './address-of.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {gossipTiming} from './gossip-timing.js';
import type {Knowledge} from './knowledge.js';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import type {Outbox} from './outbox.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly knowledge: Knowledge;
	readonly outbox: Outbox;
	readonly seeds: readonly Address[];
	readonly isGateway: () => boolean;
	/** Called after news that should go out at once. */
	readonly push: () => void;
};

const indirectProbes = 3;
const contactsPassedOn = 2;

/** Greetings that a member which is gone gets from its group in each period, on average. */
const greetingsToGone = 3;

/**
 * Probes members: each period one at random, and as a gateway one contact of each other group.
 * A member that neither answers nor can be reached by others is suspected, then given up.
 *
 * @example
 * await prober.round(signal);
 */
export class Prober {
	/** Creates a prober that has probed nobody. */
	static create(opts: Opts): Prober {
		return new Prober(opts);
	}

	/** Members that are still to be probed in this turn, in random order. */
	private order: string[] = [];
	private contactedMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly opts: Opts) {}

	/** Makes the probes of one period. */
	async round(signal: AbortSignal): Promise<void> {
		this.greetGone();
		await this.probeNext(signal);
		if (this.opts.isGateway()) {
			await this.probeContacts();
		}

		this.giveUpSuspects();
	}

	/** Makes this node known to the members that its settings name. */
	greetSeeds(): void {
		this.greet(this.opts.seeds);
	}

	/** Makes this node known at addresses, and asks who is there. */
	greet(addresses: readonly Address[]): void {
		const {outbox} = this.opts;
		for (const address of addresses) {
			outbox.send(address, datagramTypes.ping, [outbox.ownRumor()], {isStranger: true});
		}
	}

	/** Probes a member for one that could not reach it, and passes the answer on. */
	async probeFor(request: Datagram, from: Address): Promise<void> {
		const {knowledge, outbox} = this.opts;
		const target = knowledge.table.get(request.target ?? '');
		if (target && (await outbox.ping(addressOf(target), []))) {
			outbox.send(from, datagramTypes.ack, [], {seq: request.seq});
		}
	}

	/**
	 * Greets the address of a member that is gone: it may have come back without anybody to ask for the
	 * others, or have been cut off. It is told what is believed of it, so that it can refute that.
	 */
	private greetGone(): void {
		const {knowledge, outbox, random} = this.opts;
		const {table} = knowledge;
		const {gone, alive} = table;
		if (random.next() < (gone.length * greetingsToGone) / alive.length) {
			const member = gone[random.below(gone.length)]!;
			const rumors = [outbox.ownRumor(), {kind: rumorKinds.member, member}];
			outbox.send(addressOf(member), datagramTypes.ping, rumors, {isStranger: true});
		}
	}

	private nextTarget(): Member | undefined {
		const {table, self} = this.opts.knowledge;
		while (this.order.length > 0) {
			const member = table.get(this.order.pop()!);
			if (member && table.alive.includes(member)) {
				return member;
			}
		}

		const others = table.alive.filter(({id}) => id !== self.id).map(({id}) => id);
		this.order = pick(others, others.length, this.opts.random);
		const next = this.order.pop();
		return next === undefined ? undefined : table.get(next);
	}

	private async probeNext(signal: AbortSignal): Promise<void> {
		const {knowledge, outbox, push} = this.opts;
		const target = this.nextTarget();
		if (!target) {
			this.greetSeeds();
			return;
		}

		const isUp =
			(await outbox.ping(addressOf(target), outbox.news())) || (await this.probeIndirectly(target));
		const current = knowledge.table.get(target.id);
		if (!isUp && !signal.aborted && current?.state === memberStates.alive) {
			knowledge.learnMember({...current, state: memberStates.suspect});
			push();
		}
	}

	private async probeIndirectly(target: Member): Promise<boolean> {
		const {knowledge, outbox, random} = this.opts;
		const helpers = knowledge.table.alive.filter(
			({id}) => id !== knowledge.self.id && id !== target.id,
		);
		const seq = outbox.nextSeq();
		const acked = outbox.acks.within(seq, gossipTiming.ackTimeoutMs);
		for (const helper of pick(helpers, indirectProbes, random)) {
			outbox.send(addressOf(helper), datagramTypes.pingRequest, [], {seq, target: target.id});
		}

		return acked;
	}

	private async probeContacts(): Promise<void> {
		const {clock, knowledge, outbox} = this.opts;
		const {contacts} = knowledge;
		const nowMs = clock.monotonic();
		if (nowMs - this.contactedMs > gossipTiming.contactIntervalMs) {
			this.contactedMs = nowMs;
			// Seeds may name groups that are not known yet.
			this.greetSeeds();
			this.passContactsOn();
		}

		await Promise.all(
			contacts.groups.map(async group => {
				const contact = contacts.of(group)[0];
				const rumors = [outbox.ownRumor(), ...outbox.foreignNews()];
				if (contact && !(await outbox.ping(addressOf(contact), rumors))) {
					contacts.demote(contact.id);
				}
			}),
		);
	}

	private passContactsOn(): void {
		const {contacts, queue} = this.opts.knowledge;
		for (const group of contacts.groups) {
			for (const member of contacts.of(group).slice(0, contactsPassedOn)) {
				queue.add({kind: rumorKinds.contact, member});
			}
		}
	}

	private giveUpSuspects(): void {
		const {knowledge, push} = this.opts;
		for (const member of knowledge.table.overdueSuspects(gossipTiming.suspicionMs)) {
			knowledge.learnMember({...member, state: memberStates.dead});
			push();
		}

		knowledge.table.expireTombstones();
	}
}
