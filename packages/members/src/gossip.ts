import {type Clock, type Log, type Random, pick} from '@medlarsaddle/core';
import type {Address} from './address.js';
import {addressOf} from './address-of.js';
import type {Contacts} from './contacts.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {Differences} from './differences.js';
import {gossipTiming} from './gossip-timing.js';
import {HeldReports} from './held-reports.js';
import {Knowledge} from './knowledge.js';
import type {Member} from './member.js';
import {memberStates} from './member-states.js';
import type {MemberTable} from './member-table.js';
import {Outbox} from './outbox.js';
import {PingAnswers} from './ping-answers.js';
import {Prober} from './prober.js';
import {Roles} from './roles.js';
import type {Rumor} from './rumor.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly self: Member;
	readonly seeds: readonly Address[];
	/** Sends one datagram; losses are expected. */
	readonly send: (to: Address, datagram: Datagram) => void;
	readonly sizeOf: (rumor: Rumor) => number;
	/** Digest of the policy sections that this node holds. */
	readonly sectionsDigest: () => number;
	/** Takes in a rumor that is not about members; true when it was news to be passed on. */
	readonly onRumor: (rumor: Rumor, from: Member | undefined) => boolean;
	/** Called when a member differs from this node and should be asked for what it holds. */
	readonly onDiffers: (member: Member) => void;
	readonly onMembersChanged: () => void;
	/** Called when another process has taken this node's ID; true to outbid it and keep the ID. */
	readonly onReplaced: () => boolean;
};

const fanOut = 3;
const gatewayCount = 2;

/**
 * Membership of a group and the spread of news in it, by probes of random members over
 * datagrams that carry news. Only a few gateways, which every node works out for itself from its
 * table, talk to other groups.
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

	/** Who of the group has which section version in force. */
	readonly held: HeldReports;
	private readonly knowledge: Knowledge;
	private readonly roles: Roles;
	private readonly outbox: Outbox;
	private readonly prober: Prober;
	private readonly differences: Differences;
	private readonly answers: PingAnswers;
	private readonly heardMs = new Map<string, number>();

	private constructor(private readonly opts: Opts) {
		this.knowledge = Knowledge.create({
			...opts,
			onRefuted: rumor => {
				this.spread(rumor);
			},
		});
		this.roles = Roles.create(this.knowledge.table, opts.self.id);
		this.outbox = Outbox.create({...opts, knowledge: this.knowledge});
		const {knowledge, roles, outbox} = this;
		this.held = HeldReports.create({knowledge, roles, outbox});
		this.answers = PingAnswers.create({random: opts.random, knowledge, outbox});
		this.prober = Prober.create({
			...opts,
			knowledge,
			outbox,
			isGateway: () => this.isGateway,
			push: () => {
				this.push();
			},
		});
		this.differences = Differences.create(opts.clock);
	}

	/** Members of this group as far as they are known. */
	get table(): MemberTable {
		return this.knowledge.table;
	}

	/** Members of other groups that are known. */
	get contacts(): Contacts {
		return this.knowledge.contacts;
	}

	/** This node's own record. */
	get self(): Member {
		return this.knowledge.self;
	}

	/** Whether this node is one of the few that talk to other groups. */
	get isGateway(): boolean {
		return this.isChosen('gateway', gatewayCount);
	}

	/** Whether this node is among the `count` that every node would choose for a role. */
	isChosen(role: string, count: number): boolean {
		return this.roles.isChosen(role, count);
	}

	/** Milliseconds since a group was last heard of; -1 when it never was. */
	heardMsAgo(group: string): number {
		const heardMs = this.heardMs.get(group);
		return heardMs === undefined ? -1 : Math.floor(this.opts.clock.monotonic() - heardMs);
	}

	/** Changes this node's own record and tells the others at once. */
	readonly update = (change: Partial<Pick<Member, 'inherits' | 'offers' | 'state'>>): void => {
		this.knowledge.changeSelf(change);
		this.spread(this.outbox.ownRumor());
	};

	/** Spreads a rumor: to a few members at once, a section to a few more soon, then with the probes. */
	readonly spread = (rumor: Rumor): void => {
		this.knowledge.queue.add(rumor);
		this.push();
		if (rumor.kind === rumorKinds.section) {
			for (const delayMs of gossipTiming.sectionPushesMs) {
				this.opts.clock.after(delayMs, () => {
					this.push();
				});
			}
		}
	};

	/** Probes one member each period until the signal aborts. */
	readonly probeLoop = async (signal: AbortSignal, ready: () => void): Promise<void> => {
		ready();
		this.prober.greetSeeds();
		while (!signal.aborted) {
			const startMs = this.opts.clock.monotonic();
			await this.prober.round(signal);
			const spentMs = this.opts.clock.monotonic() - startMs;
			await this.opts.clock
				.sleep(Math.max(0, gossipTiming.probePeriodMs - spentMs), signal)
				.catch(() => {});
		}
	};

	/** Takes in one datagram. */
	readonly receive = (datagram: Datagram, from: Address): void => {
		const sender = this.senderOf(datagram);
		this.heardMs.set(datagram.group, this.opts.clock.monotonic());
		const isNews = datagram.rumors.map(rumor => this.learn(rumor, sender)).some(Boolean);
		switch (datagram.type) {
			case datagramTypes.ping: {
				this.answers.answer(datagram, from);
				break;
			}

			case datagramTypes.ack: {
				this.outbox.acks.settle(datagram.seq);
				if (datagram.isStranger) {
					this.outbox.send(from, datagramTypes.news, [this.outbox.ownRumor()]);
				}

				break;
			}

			case datagramTypes.pingRequest: {
				void this.prober.probeFor(datagram, from);
				break;
			}

			case datagramTypes.held: {
				this.held.collect(datagram);
				break;
			}

			case datagramTypes.news: {
				break;
			}
		}

		this.correct(datagram, from);
		this.compare(datagram, sender);
		if (isNews) {
			this.push();
		}
	};

	/** Takes in members that were fetched from another node, and passes nothing on. */
	readonly mergeMembers = (members: readonly Member[]): void => {
		for (const member of members) {
			this.knowledge.merge(member);
		}
	};

	/** Takes up probing again after this process was paused, with a version that overrides suspicion. */
	readonly rejoin = (): void => {
		this.update({state: memberStates.alive});
		this.prober.greetSeeds();
	};

	/** Greets every address given, so that this node and those behind them learn of one another. */
	readonly greet = (addresses: readonly Address[]): void => {
		this.prober.greet(addresses);
	};

	/** Tells a sender whose record of itself is out of date, such as after its clock went back. */
	private correct({from: id, rumors}: Datagram, from: Address): void {
		const known = this.table.get(id);
		const isOutdated = rumors.some(
			rumor =>
				rumor.kind === rumorKinds.member &&
				rumor.member.id === id &&
				known !== undefined &&
				known.incarnation > rumor.member.incarnation,
		);
		if (known && isOutdated) {
			this.outbox.send(from, datagramTypes.news, [{kind: rumorKinds.member, member: known}]);
		}
	}

	/** Sends pending news to a few random members without waiting for the next probe. */
	private push(): void {
		const others = this.table.alive.filter(({id}) => id !== this.self.id);
		for (const target of pick(others, fanOut, this.opts.random)) {
			const rumors = this.outbox.news();
			if (rumors.length === 0) {
				return;
			}

			this.outbox.send(addressOf(target), datagramTypes.news, rumors);
		}

		if (this.isGateway) {
			this.pushAbroad();
		}
	}

	private pushAbroad(): void {
		for (const group of this.contacts.groups) {
			const contact = this.contacts.of(group)[0];
			const rumors = this.outbox.foreignNews();
			if (contact && rumors.length > 0) {
				const own = this.outbox.ownRumor();
				this.outbox.send(addressOf(contact), datagramTypes.news, [own, ...rumors]);
			}
		}
	}

	private learn(rumor: Rumor, sender: Member | undefined): boolean {
		if (rumor.kind === rumorKinds.member || rumor.kind === rumorKinds.contact) {
			return this.knowledge.learn(rumor);
		}

		const isNews = this.opts.onRumor(rumor, sender);
		if (isNews) {
			this.knowledge.queue.add(rumor);
		}

		return isNews;
	}

	private senderOf({group, from}: Datagram): Member | undefined {
		return group === this.self.group
			? this.table.get(from)
			: this.contacts.of(group).find(({id}) => id === from);
	}

	/** Asks a sender that holds something else for it, when the difference lasts. */
	private compare({group, digests}: Datagram, sender: Member | undefined): void {
		const [members, sections] = digests;
		const isHome = group === this.self.group;
		const differs =
			sections !== this.opts.sectionsDigest() || (isHome && members !== this.table.digest);
		if (sender && this.differences.isDue(differs)) {
			this.opts.onDiffers(sender);
		}
	}
}
