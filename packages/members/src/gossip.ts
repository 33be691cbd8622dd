import type {Clock, Log, Random} from '@medlarsaddle/core';
import type {Address} from './address.js';
import {addressOf} from './address-of.js';
import type {Contacts} from './contacts.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {SyncTrigger} from './sync-trigger.js';
import {gossipTiming} from './gossip-timing.js';
import {RolloutTracker} from './rollout-tracker.js';
import {Membership} from './membership.js';
import {isMember} from './is-member.js';
import {isRumor} from './is-rumor.js';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import type {MemberTable} from './member-table.js';
import {DatagramSender} from './datagram-sender.js';
import {PingResponder} from './ping-responder.js';
import {Prober} from './prober.js';
import {ReaderHeartbeats} from './reader-heartbeats.js';
import {Roles} from './roles.js';
import type {Rumor} from './rumor.js';
import type {StoreRole} from './store-role.js';
import {rumorKinds} from './rumor-kinds.js';
import {TargetRotation} from './target-rotation.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly self: Member;
	readonly seeds: readonly Address[];
	/** Sends a datagram; it may be lost. */
	readonly send: (to: Address, datagram: Datagram) => void;
	/** Encoded size of a rumor in bytes. */
	readonly sizeOf: (rumor: Rumor) => number;
	/** Digest of the policy sections that this node holds. */
	readonly sectionsDigest: () => number;
	/**
	 * Handles a rumor that is not about a member. Returns true when it is new and should be passed
	 * on.
	 */
	readonly onRumor: (rumor: Rumor, from: Member | undefined) => boolean;
	/** Called when the state of a member differs from that of this node and should be fetched. */
	readonly onDivergence: (member: Member) => void;
	readonly onMembersChanged: () => void;
	/**
	 * Called when another process runs under this node's ID. Returns true to override it and keep the
	 * ID.
	 */
	readonly onIdConflict: () => boolean;
};

const fanOut = 3;
const gatewayCount = 2;

/**
 * SWIM-style membership of a group: probes of random members detect failures, and the datagrams
 * carry rumors that spread updates. Only a few members, the gateways, talk to other groups; every
 * node determines them from its own member table.
 *
 * @example
 * const gossip = Gossip.create(opts);
 * await gossip.probeLoop(signal, () => {});
 */
export class Gossip {
	/** Creates the protocol state; nothing is sent before `probeLoop` runs. */
	static create(opts: Opts): Gossip {
		return new Gossip(opts);
	}

	/** Tracks which members of the group have which section version in force. */
	readonly rollout: RolloutTracker;
	/** Heartbeats of the members that read the platform's store. */
	readonly readerHeartbeats: ReaderHeartbeats;
	private readonly membership: Membership;
	private readonly roles: Roles;
	private readonly datagramSender: DatagramSender;
	private readonly prober: Prober;
	private readonly syncTrigger: SyncTrigger;
	private readonly pingResponder: PingResponder;
	private pushTargets: TargetRotation;
	private readonly lastReceivedMs = new Map<string, number>();

	private constructor(private readonly opts: Opts) {
		this.membership = Membership.create({
			...opts,
			onRefuted: rumor => {
				this.spread(rumor);
			},
		});
		this.roles = Roles.create(this.membership.table, opts.self.id);
		this.datagramSender = DatagramSender.create({...opts, membership: this.membership});
		const {membership, roles, datagramSender} = this;
		this.rollout = RolloutTracker.create({
			membership,
			roles,
			datagramSender,
		});
		this.readerHeartbeats = ReaderHeartbeats.create({membership, roles, datagramSender});
		this.pingResponder = PingResponder.create({
			random: opts.random,
			membership,
			datagramSender,
		});
		this.prober = Prober.create({
			...opts,
			membership,
			datagramSender,
			isGateway: () => this.isGateway,
			push: () => {
				this.push();
			},
		});
		this.syncTrigger = SyncTrigger.create(opts.clock);
		this.pushTargets = TargetRotation.create(opts.random);
	}

	/** Known members of this group. */
	get table(): MemberTable {
		return this.membership.table;
	}

	/** Known members of other groups. */
	get contacts(): Contacts {
		return this.membership.contacts;
	}

	/** This node's own record. */
	get self(): Member {
		return this.membership.self;
	}

	/** Whether this node is a gateway, one of the few members that talk to other groups. */
	get isGateway(): boolean {
		return this.hasRole('gateway', gatewayCount);
	}

	/** Whether this node is one of the `count` members that have a role. */
	hasRole(role: string, count: number): boolean {
		return this.roles.hasRole(role, count);
	}

	/** Whether this node is one of the members of its data centre with a role at the store. */
	hasStoreRole(role: StoreRole): boolean {
		return this.roles.hasStoreRole(role);
	}

	/** Members of all data centres that have a role at the store and reach it; see `Roles`. */
	storeRoleHolders(role: StoreRole): readonly string[] {
		return this.roles.storeRoleHolders(role);
	}

	/** Milliseconds since the last datagram from a group; -1 when there was none. */
	sinceLastReceivedMs(group: string): number {
		const receivedMs = this.lastReceivedMs.get(group);
		return receivedMs === undefined ? -1 : Math.floor(this.opts.clock.monotonic() - receivedMs);
	}

	/** Changes this node's own record and pushes the change to other members. */
	readonly updateSelf = (
		change: Partial<Pick<Member, 'hasLostStore' | 'inherits' | 'offers' | 'state'>>,
	): void => {
		this.membership.updateSelf(change);
		this.spread(this.datagramSender.selfRumor());
	};

	/**
	 * Spreads a rumor: pushes it to a few random members now, and after that with the probes. A rumor
	 * about a section is also pushed again after each of the delays in `gossipTiming`.
	 */
	readonly spread = (rumor: Rumor): void => {
		this.membership.queue.add(rumor);
		if (rumor.kind === rumorKinds.section) {
			// The repeated pushes of one version go to other members each time.
			this.pushTargets = TargetRotation.create(this.opts.random);
		}

		this.push();
		if (rumor.kind === rumorKinds.section) {
			for (const delayMs of gossipTiming.sectionPushDelaysMs) {
				this.opts.clock.after(delayMs, () => {
					this.push();
				});
			}
		}
	};

	/** Probes one member per probe period until the signal aborts. */
	readonly probeLoop = async (signal: AbortSignal, ready: () => void): Promise<void> => {
		ready();
		this.prober.joinSeeds();
		while (!signal.aborted) {
			const startMs = this.opts.clock.monotonic();
			await this.prober.runRound(signal);
			const elapsedMs = this.opts.clock.monotonic() - startMs;
			await this.opts.clock
				.sleep(Math.max(0, gossipTiming.probePeriodMs - elapsedMs), signal)
				.catch(() => {});
		}
	};

	/** Handles a received datagram. */
	readonly receive = (datagram: Datagram, from: Address): void => {
		const sender = this.senderOf(datagram);
		this.lastReceivedMs.set(datagram.group, this.opts.clock.monotonic());
		const hasNewRumors = datagram.rumors
			.filter(rumor => isRumor(rumor))
			.map(rumor => this.applyRumor(rumor, sender))
			.some(Boolean);
		switch (datagram.type) {
			case datagramTypes.ping: {
				this.pingResponder.respond(datagram, from);
				break;
			}

			case datagramTypes.ack: {
				this.datagramSender.acks.resolve(datagram.seq);
				if (datagram.isStranger) {
					this.datagramSender.send(from, datagramTypes.rumors, [this.datagramSender.selfRumor()]);
				}

				break;
			}

			case datagramTypes.pingRequest: {
				void this.prober.probeOnBehalf(datagram, from);
				break;
			}

			case datagramTypes.sectionInForce: {
				this.rollout.collect(datagram);
				break;
			}

			case datagramTypes.readerHeartbeat: {
				this.readerHeartbeats.receive(datagram, sender);
				break;
			}

			case datagramTypes.rumors: {
				break;
			}
		}

		this.sendNewerRecord(datagram, from);
		this.compareDigests(datagram, sender);
		if (hasNewRumors) {
			this.push();
		}
	};

	/** Merges members that were fetched from another node, without spreading them further. */
	readonly mergeMembers = (members: readonly unknown[]): void => {
		for (const member of members.filter(value => isMember(value))) {
			this.membership.merge(member);
		}
	};

	/**
	 * Rejoins after this process was paused, with a new version of its record that overrides
	 * suspicion.
	 */
	readonly rejoin = (): void => {
		this.updateSelf({state: memberStates.alive});
		this.prober.joinSeeds();
	};

	/** Pings the addresses, so that this node and the members at them learn of one another. */
	readonly join = (addresses: readonly Address[]): void => {
		this.prober.join(addresses);
	};

	/**
	 * Replies with the known record to a member that announces itself with an older incarnation, as
	 * it does when its clock was set back.
	 */
	private sendNewerRecord({from: id, rumors}: Datagram, from: Address): void {
		const known = this.table.get(id);
		const isOutdated = rumors.some(
			rumor =>
				isRumor(rumor) &&
				rumor.kind === rumorKinds.member &&
				rumor.member.id === id &&
				known !== undefined &&
				known.incarnation > rumor.member.incarnation,
		);
		if (known && isOutdated) {
			this.datagramSender.send(from, datagramTypes.rumors, [
				{kind: rumorKinds.member, member: known},
			]);
		}
	}

	/** Sends pending rumors to a few random members without waiting for the next probe. */
	private push(): void {
		const others = this.table.alive.filter(({id}) => id !== this.self.id);
		for (const target of this.pushTargets.next(others, fanOut)) {
			const rumors = this.datagramSender.takeRumors();
			if (rumors.length === 0) {
				return;
			}

			this.datagramSender.send(addressOf(target), datagramTypes.rumors, rumors);
		}

		if (this.isGateway) {
			this.pushToContacts();
		}
	}

	private pushToContacts(): void {
		for (const group of this.contacts.groups) {
			const contact = this.contacts.of(group)[0];
			const rumors = this.datagramSender.takeRumorsForOtherGroup();
			if (contact && rumors.length > 0) {
				const own = this.datagramSender.selfRumor();
				this.datagramSender.send(addressOf(contact), datagramTypes.rumors, [own, ...rumors]);
			}
		}
	}

	private applyRumor(rumor: Rumor, sender: Member | undefined): boolean {
		if (rumor.kind === rumorKinds.member || rumor.kind === rumorKinds.contact) {
			return this.membership.apply(rumor);
		}

		const isNew = this.opts.onRumor(rumor, sender);
		if (isNew) {
			this.membership.queue.add(rumor);
		}

		return isNew;
	}

	private senderOf({group, from}: Datagram): Member | undefined {
		return group === this.self.group
			? this.table.get(from)
			: this.contacts.of(group).find(({id}) => id === from);
	}

	/** Compares digests with the sender and fetches its state when they keep differing. */
	private compareDigests({group, digests}: Datagram, sender: Member | undefined): void {
		const [members, sections] = digests;
		const isSameGroup = group === this.self.group;
		const differs =
			sections !== this.opts.sectionsDigest() || (isSameGroup && members !== this.table.digest);
		if (sender && this.syncTrigger.isDue(differs)) {
			this.opts.onDivergence(sender);
		}
	}
}
