import {type Clock, type Random, pick} from '@medlarsaddle/core';
import type {Address} from './address.js';
import {addressOf} from './address-of.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {gossipTiming} from './gossip-timing.js';
import type {Membership} from './membership.js';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import type {DatagramSender} from './datagram-sender.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly membership: Membership;
	readonly datagramSender: DatagramSender;
	readonly seeds: readonly Address[];
	readonly isGateway: () => boolean;
	/** Sends pending rumors now instead of with the next probe. */
	readonly push: () => void;
};

const indirectProbeCount = 3;
const maxContactRumorsPerGroup = 2;

/**
 * Reconnection pings that each dead or left member gets from its group per probe period, on
 * average.
 */
const reconnectsPerDownMember = 3;

/**
 * Probes members: one random member per period and, on a gateway, one contact of each other group.
 * A member that answers neither a direct nor an indirect probe becomes suspect, and dead unless it
 * refutes the suspicion in time.
 *
 * @example
 * await prober.runRound(signal);
 */
export class Prober {
	/** Creates a prober that has not probed any member yet. */
	static create(opts: Opts): Prober {
		return new Prober(opts);
	}

	/** IDs of the members still to be probed in the current pass over the table, in random order. */
	private probeOrder: string[] = [];
	private lastContactRefreshMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly opts: Opts) {}

	/** Sends the probes of one period and waits for their results. */
	async runRound(signal: AbortSignal): Promise<void> {
		this.reconnectToDown();
		await this.probeNext(signal);
		if (this.opts.isGateway()) {
			await this.probeContacts();
		}

		this.expireSuspects();
	}

	/** Pings the seeds of the settings to join their groups. */
	joinSeeds(): void {
		this.join(this.opts.seeds);
	}

	/** Announces this node at the addresses and requests the records of the members there. */
	join(addresses: readonly Address[]): void {
		const {datagramSender} = this.opts;
		for (const address of addresses) {
			datagramSender.send(address, datagramTypes.ping, [datagramSender.selfRumor()], {
				isStranger: true,
			});
		}
	}

	/**
	 * Probes a member on behalf of another one that could not reach it, and relays its
	 * acknowledgement.
	 */
	async probeOnBehalf(request: Datagram, from: Address): Promise<void> {
		const {membership, datagramSender} = this.opts;
		const target = membership.table.get(request.target ?? '');
		if (target && (await datagramSender.ping(addressOf(target), []))) {
			datagramSender.send(from, datagramTypes.ack, [], {seq: request.seq});
		}
	}

	/**
	 * Pings a random dead or left member: it may have restarted without a reachable member to join,
	 * or have been partitioned from the group. The ping carries the record that this node has of it,
	 * so that it can refute its failure.
	 */
	private reconnectToDown(): void {
		const {membership, datagramSender, random} = this.opts;
		const {table} = membership;
		const {down, alive} = table;
		if (random.next() < (down.length * reconnectsPerDownMember) / alive.length) {
			const member = down[random.below(down.length)]!;
			const rumors = [datagramSender.selfRumor(), {kind: rumorKinds.member, member}];
			datagramSender.send(addressOf(member), datagramTypes.ping, rumors, {isStranger: true});
		}
	}

	private nextTarget(): Member | undefined {
		const {table, self} = this.opts.membership;
		while (this.probeOrder.length > 0) {
			const member = table.get(this.probeOrder.pop()!);
			if (member && table.alive.includes(member)) {
				return member;
			}
		}

		const others = table.alive.filter(({id}) => id !== self.id).map(({id}) => id);
		this.probeOrder = pick(others, others.length, this.opts.random);
		const next = this.probeOrder.pop();
		return next === undefined ? undefined : table.get(next);
	}

	private async probeNext(signal: AbortSignal): Promise<void> {
		const {membership, datagramSender, push} = this.opts;
		const target = this.nextTarget();
		if (!target) {
			this.joinSeeds();
			return;
		}

		const isUp =
			(await datagramSender.ping(addressOf(target), datagramSender.takeRumors())) ||
			(await this.probeIndirectly(target));
		const current = membership.table.get(target.id);
		if (!isUp && !signal.aborted && current?.state === memberStates.alive) {
			membership.applyMember({...current, state: memberStates.suspect});
			push();
		}
	}

	private async probeIndirectly(target: Member): Promise<boolean> {
		const {membership, datagramSender, random} = this.opts;
		const helpers = membership.table.alive.filter(
			({id}) => id !== membership.self.id && id !== target.id,
		);
		const seq = datagramSender.nextSeq();
		const acked = datagramSender.acks.waitFor(seq, gossipTiming.ackTimeoutMs);
		for (const helper of pick(helpers, indirectProbeCount, random)) {
			datagramSender.send(addressOf(helper), datagramTypes.pingRequest, [], {
				seq,
				target: target.id,
			});
		}

		return acked;
	}

	private async probeContacts(): Promise<void> {
		const {clock, membership, datagramSender} = this.opts;
		const {contacts} = membership;
		const nowMs = clock.monotonic();
		if (nowMs - this.lastContactRefreshMs > gossipTiming.contactIntervalMs) {
			this.lastContactRefreshMs = nowMs;
			// Seeds may name groups that are not known yet.
			this.joinSeeds();
			this.queueContactRumors();
		}

		await Promise.all(
			contacts.groups.map(async group => {
				const contact = contacts.of(group)[0];
				const rumors = [datagramSender.selfRumor(), ...datagramSender.takeRumorsForOtherGroup()];
				if (contact && !(await datagramSender.ping(addressOf(contact), rumors))) {
					contacts.demote(contact.id);
				}
			}),
		);
	}

	private queueContactRumors(): void {
		const {contacts, queue} = this.opts.membership;
		for (const group of contacts.groups) {
			for (const member of contacts.of(group).slice(0, maxContactRumorsPerGroup)) {
				queue.add({kind: rumorKinds.contact, member});
			}
		}
	}

	private expireSuspects(): void {
		const {membership, push} = this.opts;
		for (const member of membership.table.overdueSuspects(gossipTiming.suspicionTimeoutMs)) {
			membership.applyMember({...member, state: memberStates.dead});
			push();
		}

		membership.table.expireTombstones();
	}
}
