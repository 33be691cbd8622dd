import {randomBytes, randomInt} from 'node:crypto';
import type {Endpoint} from '@medlarsaddle/control';
import {type Clock, type Log, createRandom, events} from '@medlarsaddle/core';
import {type Member, memberStates} from '@medlarsaddle/members';
import type {Section} from '@medlarsaddle/policy';
import type {OpenStore} from '@medlarsaddle/records';
import type {Child} from '@medlarsaddle/supervise';
import {asValue, createContainer} from 'awilix';
import {handOverKeys} from '../calls/hand-over-keys.js';
import type {Settings} from '../settings/settings.js';
import {nativeProtocol} from '../upstream/native-protocol.js';
import type {UpstreamProtocol} from '../upstream/upstream-protocol.js';
import {bindPorts} from './bind-ports.js';
import {coreOf} from './core-of.js';
import type {Cradle} from './cradle.js';
import {jobStrategy} from './job-strategy.js';
import {listen} from './listen.js';
import type {NodeCore} from './node-core.js';
import {registerCalls} from './register-calls.js';
import {registerControlPlane} from './register-control-plane.js';
import {registerServers} from './register-servers.js';
import {registerReport} from './register-report.js';
import type {Strategy} from './strategy.js';
import {buildTree} from './tree.js';

type Deps = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly log: Log;
	/** Whether an address can be reached; tests and the bench simulate partitions with it. */
	readonly canReach?: (host: string, port: number) => boolean;
	/** Opens the store at `settings.storeUrl`; without this function the node has no store. */
	readonly openStore?: OpenStore;
	/** Protocol of calls to the upstream; the project's own one by default. */
	readonly protocol?: UpstreamProtocol;
	/** Decisions that differ between uses of a node; those for calls that name a job by default. */
	readonly strategy?: Strategy;
	/**
	 * Creates parts that run as the last branch of the supervisor tree. A node with such parts serves
	 * neither operators nor its upstream itself, and writes no report.
	 */
	readonly attach?: (core: NodeCore) => readonly Child[];
};

type Ports = Awaited<ReturnType<typeof listen>> & {readonly peer: number};

const drainPollMs = 20;
const drainAnnouncementMs = 400;
const finalRollUpTimeoutMs = 2000;
const maxSeed = 2 ** 31;

/**
 * A whole node inside this process. Several can run side by side.
 *
 * @example
 * const node = await Node.start({settings, clock, log});
 * await node.stop();
 */
export class Node {
	/** Binds every port, composes the node and starts it; resolves when it is ready. */
	static async start({
		settings,
		clock,
		log,
		canReach = () => true,
		openStore,
		protocol = nativeProtocol,
		strategy = jobStrategy,
		attach,
	}: Deps): Promise<Node> {
		const {peerServer, datagrams, peerPort} = await bindPorts(settings);
		const self: Member = {
			id: settings.nodeId,
			dataCentre: settings.dataCentre,
			group: settings.group ?? settings.dataCentre,
			host: settings.host,
			peerPort,
			httpPort: settings.httpPort,
			incarnation: Math.floor(clock.now()),
			version: 1,
			state: memberStates.alive,
			offers: [],
		};
		const container = createContainer<Cradle>({strict: false});
		container.register({
			settings: asValue(settings),
			clock: asValue(clock),
			log: asValue(log),
			canReach: asValue(canReach),
			openStore: asValue(openStore),
			protocol: asValue(protocol),
			strategy: asValue(strategy),
			random: asValue(createRandom(settings.randomSeed ?? randomInt(maxSeed))),
			secret: asValue(randomBytes(16).toString('base64url')),
			self: asValue(self),
			peerServer: asValue(peerServer),
			datagrams: asValue(datagrams),
		});
		registerControlPlane(container);
		registerCalls(container);
		registerReport(container);
		registerServers(container);
		const {cradle} = container;
		if (!attach) {
			// Only a node that serves operators loads what that takes.
			const {registerOperators} = await import('./register-operators.js');
			registerOperators(container);
		}

		const ports = {...(await listen(cradle, attach === undefined)), peer: peerPort};
		const abort = new AbortController();
		const node = new Node(cradle, ports, abort, attach);
		await node.startTree();
		return node;
	}

	/** Resolves when the node has ended, rejects when its supervisor has failed. */
	ended: Promise<void> = Promise.resolve();

	private constructor(
		private readonly cradle: Cradle,
		readonly ports: Ports,
		private readonly abort: AbortController,
		private readonly attach: Deps['attach'],
	) {}

	/** Name of the data centre of the node. */
	get dataCentre(): string {
		return this.cradle.settings.dataCentre;
	}

	/** Endpoints of its data centre that the node would send calls to. */
	get knownEndpoints(): readonly Endpoint[] {
		return this.cradle.directory.all;
	}

	/** Number and bytes of the datagrams that the node has sent and received since its start. */
	get controlTraffic(): {readonly messages: number; readonly bytes: number} {
		return this.cradle.metrics.traffic;
	}

	/** Number of members of its data centre that the node believes to be alive. */
	get aliveMemberCount(): number {
		return this.cradle.gossip.table.alive.length;
	}

	/** Data centres that the node has contacts in. */
	get knownDataCentres(): readonly string[] {
		return this.cradle.gossip.contacts.groups;
	}

	/** Whether no connection to the upstream has answered recently enough to be used unprobed. */
	get isUpstreamProbeDue(): boolean {
		return this.cradle.upstream.isProbeDue;
	}

	/** Puts a policy section in force as if it came from the platform. */
	applySection(section: Section): boolean {
		return this.cradle.config.apply(section, 'program');
	}

	/** Version in force of a policy section; 0 when there is none. */
	versionOf(section: string): number {
		return this.cradle.config.policy.versionOf(section);
	}

	/**
	 * Stops gracefully: reports that it is not ready, announces to other nodes that it drains,
	 * refuses new work, waits for work in flight up to the time that the settings allow, hands over
	 * its keys, then ends.
	 */
	async stop(): Promise<void> {
		const {inFlight, lifecycle, upstream, gossip, clock, log, settings} = this.cradle;
		const untilEndMs = settings.noticeMs + settings.stopSeconds * 1000;
		log(events.nodeDraining, {untilEndMs});
		lifecycle.beginStop(untilEndMs);
		await clock.sleep(settings.noticeMs / 2);
		upstream.setDraining(true);
		await clock.sleep(settings.noticeMs / 2);
		const startMs = clock.monotonic();
		lifecycle.startDraining();
		const isBusy = () => lifecycle.openCalls > 0 || upstream.hasRunningCalls;
		for (;;) {
			const elapsedMs = clock.monotonic() - startMs;
			const isDrainAnnounced = elapsedMs >= drainAnnouncementMs;
			if ((isDrainAnnounced && !isBusy()) || elapsedMs >= settings.stopSeconds * 1000) {
				break;
			}

			await clock.sleep(drainPollMs);
		}

		if (!this.attach) {
			await this.handOver();
		}

		const cut = {openCalls: lifecycle.openCalls, running: inFlight.size};
		gossip.updateSelf({state: memberStates.left, offers: []});
		this.abort.abort(new Error('The node is stopping'));
		await this.ended;
		log(events.nodeStopped, cut);
	}

	/** Stops at once, without waiting for work in flight. */
	async kill(): Promise<void> {
		this.abort.abort(new Error('The node was killed'));
		await this.ended.catch(() => {});
	}

	/** Hands over what only this process holds: the keys that it issued and counts for the report. */
	private async handOver(): Promise<void> {
		const {log, ledger, rollUp} = this.cradle;
		const isHandedOver = await handOverKeys(this.cradle);
		log(isHandedOver ? events.keysHandedOver : events.keyHandoverFailed, {keys: ledger.size});
		await rollUp.finish(AbortSignal.timeout(finalRollUpTimeoutMs));
	}

	private async startTree(): Promise<void> {
		const tree = buildTree(this.cradle, this.attach?.(coreOf(this.cradle)));
		await new Promise<void>((resolve, reject) => {
			this.ended = tree.run(this.abort.signal, resolve);
			this.ended.catch(reject);
		});
		this.cradle.log(events.nodeReady, {ports: this.ports});
	}
}
