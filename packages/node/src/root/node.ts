import {randomBytes, randomInt} from 'node:crypto';
import type {AddressInfo} from 'node:net';
import {promisify} from 'node:util';
import {ServerCredentials} from '@grpc/grpc-js';
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
import type {NodeCore} from './node-core.js';
import {registerCalls} from './register-calls.js';
import {registerControl} from './register-control.js';
import {registerFronts} from './register-fronts.js';
import {registerReport} from './register-report.js';
import type {Strategy} from './strategy.js';
import {buildTree} from './tree.js';

type Deps = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly log: Log;
	/** Whether an address can be reached; tests and the bench cut the network with it. */
	readonly reaches?: (host: string, port: number) => boolean;
	/** Opens the store that `settings.storeUrl` names; without it the node runs without one. */
	readonly openStore?: OpenStore;
	/** How calls to the upstream are written; the project's own protocol by default. */
	readonly protocol?: UpstreamProtocol;
	/** Decisions that differ between uses; those for calls named by job by default. */
	readonly strategy?: Strategy;
	/**
	 * Parts that run as a last branch of the supervisor tree. A node with such parts serves neither
	 * operators nor its upstream by itself and writes no report.
	 */
	readonly attach?: (core: NodeCore) => readonly Child[];
};

type Ports = {
	readonly http: number;
	readonly upstream: number;
	readonly peer: number;
	readonly operator: number;
};

const leavePollMs = 20;
const spreadMs = 400;
const lastRollUpMs = 2000;
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
		reaches = () => true,
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
			reaches: asValue(reaches),
			openStore: asValue(openStore),
			protocol: asValue(protocol),
			strategy: asValue(strategy),
			random: asValue(createRandom(settings.randomSeed ?? randomInt(maxSeed))),
			secret: asValue(randomBytes(16).toString('base64url')),
			self: asValue(self),
			peerServer: asValue(peerServer),
			datagrams: asValue(datagrams),
		});
		registerControl(container);
		registerCalls(container);
		registerReport(container);
		registerFronts(container);
		const {cradle} = container;
		const ports = attach ? await listenPlain(cradle, peerPort) : await listenAll(cradle, peerPort);
		const abort = new AbortController();
		const node = new Node(cradle, ports, abort, attach);
		await node.begin();
		return node;
	}

	/** Resolves when the node has ended, rejects when its supervisor gave up. */
	ended: Promise<void> = Promise.resolve();

	private constructor(
		private readonly cradle: Cradle,
		readonly ports: Ports,
		private readonly abort: AbortController,
		private readonly attach: Deps['attach'],
	) {}

	/** Name of the data centre that the node stands in. */
	get dataCentre(): string {
		return this.cradle.settings.dataCentre;
	}

	/** Endpoints of its data centre that the node would send calls to. */
	get knownEndpoints(): readonly Endpoint[] {
		return this.cradle.directory.all;
	}

	/** Datagrams and their bytes that the node has sent and received since its start. */
	get controlTraffic(): {readonly messages: number; readonly bytes: number} {
		return this.cradle.metrics.traffic;
	}

	/** Members of its data centre that the node takes for up. */
	get membersUp(): number {
		return this.cradle.gossip.table.alive.length;
	}

	/** Data centres that the node has contacts in. */
	get knownDataCentres(): readonly string[] {
		return this.cradle.gossip.contacts.groups;
	}

	/** Whether no connection to the upstream has answered lately enough to be trusted unprobed. */
	get isUpstreamProofStale(): boolean {
		return this.cradle.slot.isProbeDue;
	}

	/** Takes up a policy section as if it came from the platform. */
	takeSection(section: Section): boolean {
		return this.cradle.config.take(section, 'program');
	}

	/** Version that the node has in force of a policy section; 0 when it has none. */
	versionOf(section: string): number {
		return this.cradle.config.policy.versionOf(section);
	}

	/**
	 * Leaves in order: says that it is not ready, tells the others, takes no new work, waits for what
	 * is in flight up to the time that the settings allow, hands its keys over, then ends.
	 */
	async stop(): Promise<void> {
		const {lifecycle, slot, gossip, clock, log, settings} = this.cradle;
		log(events.nodeDraining);
		lifecycle.giveNotice();
		await clock.sleep(settings.noticeMs / 2);
		slot.setDraining(true);
		await clock.sleep(settings.noticeMs / 2);
		const startMs = clock.monotonic();
		lifecycle.leave();
		const isBusy = () => lifecycle.openCalls > 0 || slot.hasRunningCalls;
		for (;;) {
			const spentMs = clock.monotonic() - startMs;
			const isSpread = spentMs >= spreadMs;
			if ((isSpread && !isBusy()) || spentMs >= settings.stopSeconds * 1000) {
				break;
			}

			await clock.sleep(leavePollMs);
		}

		if (!this.attach) {
			await this.handOver();
		}

		gossip.updateSelf({state: memberStates.left, offers: []});
		this.abort.abort(new Error('The node stops'));
		await this.ended;
		log(events.nodeStopped);
	}

	/** Ends at once, without waiting for anything. */
	async kill(): Promise<void> {
		this.abort.abort(new Error('The node is ended'));
		await this.ended.catch(() => {});
	}

	/** Hands on what only this process knows: keys that it issued, and counts for the report. */
	private async handOver(): Promise<void> {
		const {log, ledger, rollUp} = this.cradle;
		const isHandedOver = await handOverKeys(this.cradle);
		log(isHandedOver ? events.keysHandedOver : events.keyHandoverFailed, {keys: ledger.size});
		await rollUp.finish(AbortSignal.timeout(lastRollUpMs));
	}

	private async begin(): Promise<void> {
		const tree = buildTree(this.cradle, this.attach?.(coreOf(this.cradle)));
		await new Promise<void>((resolve, reject) => {
			this.ended = tree.run(this.abort.signal, resolve);
			this.ended.catch(reject);
		});
		this.cradle.log(events.nodeReady, {ports: this.ports});
	}
}

/** Serves callers, health and metrics only. */
const listenPlain = async ({settings, callerApp}: Cradle, peer: number): Promise<Ports> => {
	await callerApp.listen({host: settings.host, port: settings.httpPort});
	const {port} = callerApp.server.address() as AddressInfo;
	return {http: port, peer, upstream: 0, operator: 0};
};

const listenAll = async (cradle: Cradle, peer: number): Promise<Ports> => {
	const {settings, callerApp, upstreamApp, operatorServer} = cradle;
	const {host} = settings;
	await callerApp.listen({host, port: settings.httpPort});
	await upstreamApp.listen({host, port: settings.upstreamPort});
	const bind = promisify(operatorServer.bindAsync.bind(operatorServer));
	const operator = await bind(
		`${host}:${settings.operatorPort}`,
		ServerCredentials.createInsecure(),
	);
	return {
		http: (callerApp.server.address() as AddressInfo).port,
		upstream: (upstreamApp.server.address() as AddressInfo).port,
		peer,
		operator,
	};
};
