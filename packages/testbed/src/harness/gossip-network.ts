import {type Clock, ManualClock, createRandom} from '@medlarsaddle/core';
import {
	type Address,
	type Datagram,
	Gossip,
	memberStates,
	type Rumor,
	rumorKinds,
} from '@medlarsaddle/members';
import {codec} from '@medlarsaddle/wire';

type Opts = {
	readonly seed: number;
	/** Whether a datagram is dropped; by default none is. */
	readonly shouldDrop?: (fromPort: number, toPort: number) => boolean;
	/** Group of the members of a data centre; each data centre is one by default. */
	readonly groupOf?: (dataCentre: string) => string;
};

type SimulatedMember = {
	readonly gossip: Gossip;
	readonly port: number;
	readonly versions: Map<string, number>;
	/** Called with each section version that the member puts in force. */
	readonly listeners: Set<(name: string, version: number) => void>;
	readonly stop: () => void;
	isPaused: boolean;
	hasIdConflict: boolean;
};

const hostName = '10.0.0.1';

/**
 * Many members in one process, on a manual clock and an in-memory network whose packet loss the
 * caller controls. Nothing in it depends on real time.
 *
 * @example
 * const network = GossipNetwork.create({seed: 1});
 * network.add('dc1');
 * await network.clock.advance(5000);
 */
export class GossipNetwork {
	/** Creates a network without members. */
	static create(opts: Opts): GossipNetwork {
		return new GossipNetwork(opts);
	}

	readonly clock = ManualClock.at(1_000_000);
	readonly members: SimulatedMember[] = [];
	/** Datagrams, bytes and synchronizations since the start. */
	readonly sent = {datagrams: 0, bytes: 0, syncs: 0};
	/** Whether a datagram is dropped; may be replaced at any time. */
	shouldDrop: (fromPort: number, toPort: number) => boolean;
	private readonly membersByPort = new Map<number, SimulatedMember>();
	private nextPort = 1;
	/** Deliveries to paused members, by port, that run when the member resumes. */
	private readonly pendingDeliveries = new Map<number, Array<() => void>>();

	private constructor(private readonly opts: Opts) {
		this.shouldDrop = opts.shouldDrop ?? (() => false);
	}

	/** Adds a member, with the first few members as its seeds by default. */
	add(
		dataCentre: string,
		id = `${dataCentre}-${this.nextPort}`,
		seeds = this.seedPorts(),
		port = this.nextPort++,
	): SimulatedMember {
		const versions = new Map<string, number>();
		const abort = new AbortController();
		const {clock} = this;
		const gossip = Gossip.create({
			clock,
			random: createRandom(this.opts.seed + port),
			log() {},
			self: {
				id,
				dataCentre,
				group: this.opts.groupOf?.(dataCentre) ?? dataCentre,
				host: hostName,
				peerPort: port,
				httpPort: port,
				incarnation: clock.now() + port,
				version: 1,
				state: memberStates.alive,
				offers: [{service: `service-${port % 50}`, slots: 60, draining: false}],
			},
			seeds: seeds.map(seed => ({host: hostName, port: seed})),
			send: (to, datagram) => {
				this.deliver(port, to, datagram);
			},
			sizeOf: rumor => codec.encode(rumor).length,
			sectionsDigest: () => digestOf(versions),
			onRumor: (rumor, from) => {
				this.applySectionRumor(member, rumor, from?.peerPort);
				return false;
			},
			onDivergence: peer => {
				this.sync(member, peer.peerPort);
			},
			onMembersChanged() {},
			onIdConflict() {
				member.hasIdConflict = true;
				return false;
			},
		});
		const stop = () => {
			abort.abort();
		};

		const member: SimulatedMember = {
			gossip,
			port,
			versions,
			listeners: new Set(),
			stop,
			isPaused: false,
			hasIdConflict: false,
		};
		this.members.push(member);
		this.membersByPort.set(port, member);
		void gossip.probeLoop(abort.signal, () => {});
		return member;
	}

	/** Gives every member the full member list of its data centre, as in a converged network. */
	introduceAll(): void {
		for (const {gossip} of this.members) {
			gossip.mergeMembers(
				this.members
					.map(other => other.gossip.self)
					.filter(({dataCentre}) => dataCentre === gossip.self.dataCentre),
			);
		}
	}

	/** Stops a member without announcing it. */
	kill(member: SimulatedMember): void {
		member.stop();
		this.members.splice(this.members.indexOf(member), 1);
		this.membersByPort.delete(member.port);
	}

	/** Stops or resumes a member, as when its process is paused: it sends nothing and hears later. */
	pause(member: SimulatedMember, isPaused: boolean): void {
		member.isPaused = isPaused;
		if (!isPaused) {
			for (const receive of this.pendingDeliveries.get(member.port) ?? []) {
				receive();
			}

			this.pendingDeliveries.delete(member.port);
		}
	}

	/** Puts a version of a section at one member, as one that reads the platform does. */
	put(member: SimulatedMember, name: string, version: number): void {
		if (version > (member.versions.get(name) ?? 0)) {
			member.versions.set(name, version);
			for (const listener of member.listeners) {
				listener(name, version);
			}

			member.gossip.spread({kind: rumorKinds.section, name, version});
		}
	}

	/** Whether every member lists as many members as run in its group, all of them alive. */
	get isConverged(): boolean {
		return this.members.every(({gossip}) => {
			const expected = this.members.filter(other => other.gossip.self.group === gossip.self.group);
			return (
				gossip.table.alive.length === expected.length &&
				gossip.table.alive.every(({state}) => state === memberStates.alive)
			);
		});
	}

	private seedPorts(): number[] {
		return this.members.slice(0, 3).map(({port}) => port);
	}

	private deliver(fromPort: number, to: Address, datagram: Datagram): void {
		if (this.membersByPort.get(fromPort)?.isPaused) {
			return;
		}

		const bytes = codec.encode(datagram);
		this.sent.datagrams++;
		this.sent.bytes += bytes.length;
		if (this.shouldDrop(fromPort, to.port)) {
			return;
		}

		const receive = () => {
			const member = this.membersByPort.get(to.port);
			member?.gossip.receive(codec.decode(bytes) as Datagram, {host: hostName, port: fromPort});
		};

		const target = this.membersByPort.get(to.port);
		if (target?.isPaused) {
			this.pendingDeliveries.set(to.port, [
				...(this.pendingDeliveries.get(to.port) ?? []),
				receive,
			]);
		} else {
			queueMicrotask(receive);
		}
	}

	private applySectionRumor(
		member: SimulatedMember,
		rumor: Rumor,
		fromPort: number | undefined,
	): void {
		if (
			rumor.kind === rumorKinds.section &&
			rumor.version > (member.versions.get(rumor.name) ?? 0)
		) {
			this.sync(member, fromPort);
		}
	}

	/** Simulates a synchronization over a stream: takes everything newer from the other member. */
	private sync(member: SimulatedMember, fromPort: number | undefined): void {
		const source = fromPort === undefined ? undefined : this.membersByPort.get(fromPort);
		if (
			!source ||
			this.shouldDrop(member.port, source.port) ||
			this.shouldDrop(source.port, member.port)
		) {
			return;
		}

		this.sent.syncs++;
		queueMicrotask(() => {
			if (source.gossip.self.group === member.gossip.self.group) {
				member.gossip.mergeMembers(
					source.gossip.table.all.filter(({state}) => state === memberStates.alive),
				);
			}

			for (const [name, version] of source.versions) {
				this.put(member, name, version);
			}
		});
	}
}

const digestOf = (versions: ReadonlyMap<string, number>): number => {
	let digest = 0;
	for (const [name, version] of versions) {
		digest += name.length * 31 + version * 7919;
	}

	return digest;
};
