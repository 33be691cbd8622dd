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
	/** Whether a datagram is lost; none is by default. */
	readonly loses?: (fromPort: number, toPort: number) => boolean;
};

type Site = {
	readonly gossip: Gossip;
	readonly port: number;
	readonly versions: Map<string, number>;
	readonly stop: () => void;
	isPaused: boolean;
	replaced: boolean;
};

const hostName = '10.0.0.1';

/**
 * Many members inside one process, on a manual clock and a network in memory whose losses are
 * chosen by the caller. Nothing in it depends on real time.
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
	readonly sites: Site[] = [];
	/** Datagrams and bytes sent since the start. */
	readonly sent = {datagrams: 0, bytes: 0, syncs: 0};
	/** Replaces the rule for losses. */
	loses: (fromPort: number, toPort: number) => boolean;
	private readonly byPort = new Map<number, Site>();
	private nextPort = 1;
	/** Datagrams that passed a paused member's network and wait for it. */
	private readonly held = new Map<number, Array<() => void>>();

	private constructor(private readonly opts: Opts) {
		this.loses = opts.loses ?? (() => false);
	}

	/** Adds a member whose seeds are the first few members. */
	add(
		dataCentre: string,
		id = `${dataCentre}-${this.nextPort}`,
		seeds = this.seedPorts(),
		port = this.nextPort++,
	): Site {
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
				group: dataCentre,
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
				this.learn(site, rumor, from?.peerPort);
				return false;
			},
			onDivergence: member => {
				this.sync(site, member.peerPort);
			},
			onMembersChanged() {},
			onIdConflict() {
				site.replaced = true;
				return false;
			},
		});
		const stop = () => {
			abort.abort();
		};

		const site: Site = {gossip, port, versions, stop, isPaused: false, replaced: false};
		this.sites.push(site);
		this.byPort.set(port, site);
		void gossip.probeLoop(abort.signal, () => {});
		return site;
	}

	/** Lets every member know all others of its data centre, as after a long time together. */
	introduceAll(): void {
		for (const {gossip} of this.sites) {
			gossip.mergeMembers(
				this.sites
					.map(other => other.gossip.self)
					.filter(({dataCentre}) => dataCentre === gossip.self.dataCentre),
			);
		}
	}

	/** Ends a member without a word. */
	kill(site: Site): void {
		site.stop();
		this.sites.splice(this.sites.indexOf(site), 1);
		this.byPort.delete(site.port);
	}

	/** Stops or resumes delivery to a member, as when its process is paused. */
	pause(site: Site, isPaused: boolean): void {
		site.isPaused = isPaused;
		if (!isPaused) {
			for (const run of this.held.get(site.port) ?? []) {
				run();
			}

			this.held.delete(site.port);
		}
	}

	/** Puts a section version at one member, as a reader of the platform would. */
	put(site: Site, name: string, version: number): void {
		if (version > (site.versions.get(name) ?? 0)) {
			site.versions.set(name, version);
			site.gossip.spread({kind: rumorKinds.section, name, version});
		}
	}

	/** Whether every member lists exactly the members of its own data centre that run. */
	get isConverged(): boolean {
		return this.sites.every(({gossip}) => {
			const expected = this.sites.filter(
				other => other.gossip.self.dataCentre === gossip.self.dataCentre,
			);
			return (
				gossip.table.alive.length === expected.length &&
				gossip.table.alive.every(({state}) => state === memberStates.alive)
			);
		});
	}

	private seedPorts(): number[] {
		return this.sites.slice(0, 3).map(({port}) => port);
	}

	private deliver(fromPort: number, to: Address, datagram: Datagram): void {
		const bytes = codec.encode(datagram);
		this.sent.datagrams++;
		this.sent.bytes += bytes.length;
		if (this.loses(fromPort, to.port)) {
			return;
		}

		const run = () => {
			const site = this.byPort.get(to.port);
			site?.gossip.receive(codec.decode(bytes) as Datagram, {host: hostName, port: fromPort});
		};

		const target = this.byPort.get(to.port);
		if (target?.isPaused) {
			this.held.set(to.port, [...(this.held.get(to.port) ?? []), run]);
		} else {
			queueMicrotask(run);
		}
	}

	private learn(site: Site, rumor: Rumor, fromPort: number | undefined): void {
		if (rumor.kind === rumorKinds.section && rumor.version > (site.versions.get(rumor.name) ?? 0)) {
			this.sync(site, fromPort);
		}
	}

	/** Stands for the fetch over a stream: takes what the other holds that is newer. */
	private sync(site: Site, fromPort: number | undefined): void {
		const source = fromPort === undefined ? undefined : this.byPort.get(fromPort);
		if (!source || this.loses(site.port, source.port) || this.loses(source.port, site.port)) {
			return;
		}

		this.sent.syncs++;
		queueMicrotask(() => {
			if (source.gossip.self.dataCentre === site.gossip.self.dataCentre) {
				site.gossip.mergeMembers(
					source.gossip.table.all.filter(({state}) => state === memberStates.alive),
				);
			}

			for (const [name, version] of source.versions) {
				this.put(site, name, version);
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
