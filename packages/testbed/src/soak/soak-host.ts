import {type AddressInfo, createServer} from 'node:net';
import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';
import {Client, Pool} from 'undici';
import type {Clock} from '@medlarsaddle/core';
import {DaemonOnPlatform} from '../harness/daemon-on-platform.js';
import type {RoutedUpstream} from '../upstream/routed-upstream.js';
import {Relay} from './relay.js';
import {sendRequest} from './send-request.js';
import type {SentRequest} from './sent-request.js';

type Opts = {
	readonly name: string;
	/** Number of the host, counted from 1; its loopback addresses are derived from it. */
	readonly number: number;
	readonly dataCentre: string;
	readonly service: string;
	readonly storePort: number;
	/** Starts an upstream under a unique instance name. */
	readonly startUpstream: (instance: string, instanceNumber: number) => Promise<RoutedUpstream>;
};

type InnerCall = Pick<Parameters<typeof sendRequest>[0], 'id' | 'prefix' | 'deadlineMs' | 'signal'>;

/** Time after SIGTERM at which the daemon is killed, in milliseconds: `graceS` of the platform. */
const graceMs = 6000;

/** Start time in the report of another writer: later than those of upstreams, which are their numbers. */
const laterStart = 1_000_000;

/** Interval between the liveness reports of an upstream, in milliseconds. */
const reportIntervalMs = 500;

/** Reports of an upstream that are still on their way when it leaves. */
const lateReportCount = 3;

/**
 * A host of the soak: the real daemon as a process, an upstream, and a relay on each kind of connection
 * of the daemon. Daemon and upstream can be restarted; the relays keep running.
 *
 * @example
 * const host = await SoakHost.start({name: 'a', number: 1, dataCentre, service, storePort, startUpstream});
 * host.relays.store.setFault(linkFaults.silence);
 */
export class SoakHost {
	/** Starts the relays, the upstream and the daemon. */
	static async start(opts: Opts): Promise<SoakHost> {
		const {number, storePort, startUpstream, name} = opts;
		const ip = `127.0.1.${number}`;
		const streamIp = `127.0.2.${number}`;
		const loopback = '127.0.0.1';
		const peerPort = await freePort(ip);
		const targetOf = (host: string, port: number | undefined) =>
			port === undefined ? undefined : {host, port};
		const relays = {
			callers: await Relay.start({
				target: () => targetOf(loopback, host.daemon?.portOf('callers')),
			}),
			upstream: await Relay.start({target: () => targetOf(loopback, host.upstream.port)}),
			peers: await Relay.start({
				host: ip,
				port: peerPort,
				target: () => targetOf(streamIp, peerPort),
			}),
			store: await Relay.start({target: () => targetOf(loopback, storePort)}),
		};
		const upstream = await startUpstream(`i-${name}-1`, 1);
		const host: SoakHost = new SoakHost(opts, relays, {ip, streamIp, peerPort}, upstream);
		await host.startDaemon();
		return host;
	}

	/** Number of daemon starts so far, which identifies the current daemon process. */
	startCount = 0;
	private daemon: DaemonOnPlatform | undefined;
	private innerPool: Pool | undefined;
	private instanceCount = 1;
	/** Start number of the last daemon that was sent SIGTERM. */
	private lastSignalledStart = 0;
	private isDraining = false;
	/** Whether the upstream sends no reports of its own, since it has left. */
	private isReportPaused = false;
	private pendingTransition: Promise<void> = Promise.resolve();

	private constructor(
		private readonly opts: Opts,
		readonly relays: Readonly<Record<'callers' | 'upstream' | 'peers' | 'store', Relay>>,
		private readonly addresses: {ip: string; streamIp: string; peerPort: number},
		private upstream: RoutedUpstream,
	) {}

	/** Name of the host, which is also the node ID of its daemon. */
	get name(): string {
		return this.opts.name;
	}

	/** Whether the daemon process is running. */
	get isRunning(): boolean {
		return this.daemon?.child.isRunning ?? false;
	}

	/** The last lines that the daemon logged. */
	get log(): ReadonlyArray<Record<string, unknown>> {
		return this.daemon?.child.lines ?? [];
	}

	private get instance(): string {
		return `i-${this.name}-${this.instanceCount}`;
	}

	/** Creates an HTTP client for one caller. */
	connect(): Client {
		return new Client(`http://127.0.0.1:${this.relays.callers.port}`, {pipelining: 1});
	}

	/** Sends a call of the upstream to the daemon, on connections that the upstream keeps. */
	async callInner(clock: Clock, inner: InnerCall): Promise<SentRequest> {
		this.innerPool ??= new Pool(`http://127.0.0.1:${this.relays.callers.port}`, {pipelining: 1});
		return sendRequest({...inner, client: this.innerPool, host: this, clock, isIdempotent: true});
	}

	/** Starts the daemon unless it is running. */
	async startDaemon(): Promise<void> {
		await this.runInOrder(async () => this.startIfStopped());
	}

	/** Sends a signal to the daemon process. */
	signal(name: NodeJS.Signals): void {
		this.daemon?.child.signal(name);
	}

	/**
	 * Sends SIGTERM to the daemon. Returns whether this is the first such signal to a daemon that serves
	 * callers.
	 */
	requestStop(): boolean {
		const isFirstSignal = this.lastSignalledStart !== this.startCount;
		const isServing = this.isRunning && this.daemon?.portOf('callers') !== undefined;
		this.signal('SIGTERM');
		this.lastSignalledStart = this.startCount;
		return isFirstSignal && isServing;
	}

	/** Ends the daemon with a signal, waits for its exit and starts it again. */
	async restartDaemon(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		await this.runInOrder(async () => {
			const {daemon} = this;
			// As on the platform, a stop that takes too long ends at once.
			const kill = globalThis.setTimeout(() => {
				daemon?.child.signal('SIGKILL');
			}, graceMs);
			await daemon?.child.end(signal);
			clearTimeout(kill);
			await daemon?.stop();
			await this.startIfStopped();
		});
	}

	/** Stops the upstream immediately and starts a new one. */
	async replaceUpstream(): Promise<void> {
		this.upstream.stop();
		this.instanceCount++;
		this.upstream = await this.opts.startUpstream(this.instance, this.instanceCount);
		this.isDraining = false;
		this.isReportPaused = false;
	}

	/**
	 * Tells the daemon that the upstream leaves, kills it once it has confirmed that, and lets reports
	 * from before arrive at its successor. Calls `onConfirmed` with the name of the upstream.
	 */
	async restartAfterDeparture(onConfirmed: (instance: string) => void): Promise<void> {
		this.isReportPaused = true;
		const {instance, upstream} = this;
		const lateReports = Array.from({length: lateReportCount}, () =>
			upstream.writeReport('ready', this.upstreamAddress),
		);
		if ((await this.notify(async port => upstream.leave(port))) !== 200) {
			return;
		}

		onConfirmed(instance);
		await this.restartDaemon('SIGKILL');
		for (const report of lateReports) {
			await setTimeout(reportIntervalMs);
			await this.notify(async port => upstream.send(port, report));
		}
	}

	/**
	 * Reports the upstream as draining. Resolves with its instance name when a node confirmed the report,
	 * otherwise with undefined.
	 */
	async drainUpstream(): Promise<string | undefined> {
		this.isDraining = true;
		const {instance} = this;
		return (await this.report()) ? instance : undefined;
	}

	/** Sends the report of another writer: of a service that nothing names, with a later start. */
	async reportOfAnother(): Promise<void> {
		const report = {
			address: this.upstreamAddress,
			info: {service: 'unnamed', version: 'v1', zone: 'z', slots: 20},
			status: {state: 'ready', seq: 1, coldLeftMs: 0},
			born: laterStart,
		};
		await this.notify(async port => this.upstream.send(port, JSON.stringify(report), 'i-other'));
	}

	/** Reports the upstream periodically until the signal aborts. */
	async runReportLoop(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (!this.isReportPaused) {
				await this.report();
			}

			await setTimeout(reportIntervalMs);
		}
	}

	/** Stops the upstream, the daemon and the relays. */
	async stop(): Promise<void> {
		this.upstream.stop();
		await this.innerPool?.destroy();
		await this.daemon?.stop();
		await Promise.all(Object.values(this.relays).map(async relay => relay.stop()));
	}

	/** Runs an action after all earlier starts and stops of the daemon have completed. */
	private async runInOrder(action: () => Promise<void>): Promise<void> {
		const previous = this.pendingTransition;
		this.pendingTransition = previous.then(action);
		await this.pendingTransition;
	}

	private async startIfStopped(): Promise<void> {
		if (this.isRunning) {
			return;
		}

		const {ip, streamIp, peerPort} = this.addresses;
		this.daemon = await DaemonOnPlatform.start({
			id: this.name,
			ip,
			peerPort,
			dataCentre: this.opts.dataCentre,
			service: this.opts.service,
			upstreamAddress: `127.0.0.1:${this.relays.upstream.port}`,
			storeUrl: `http://127.0.0.1:${this.relays.store.port}`,
			env: Object.fromEntries([['MEDLARSADDLE_STREAM_HOST', streamIp]]),
		});
		this.startCount++;
	}

	private get upstreamAddress(): string {
		return `127.0.0.1:${this.relays.upstream.port}`;
	}

	/** Sends one liveness report; resolves with false when no daemon accepted it. */
	private async report(): Promise<boolean> {
		const state = this.isDraining ? 'draining' : 'ready';
		const status = await this.notify(async port =>
			this.upstream.report(port, state, this.upstreamAddress),
		);
		return status === 200;
	}

	/** Sends to the liveness port of the daemon; resolves with the status, undefined without one. */
	private async notify(
		send: (livenessPort: number) => Promise<number>,
	): Promise<number | undefined> {
		const port = this.daemon?.portOf('liveness');
		if (port === undefined || !this.isRunning) {
			return undefined;
		}

		try {
			return await send(port);
		} catch {
			// The daemon is stopping or paused; the next periodic report repeats this one.
			return undefined;
		}
	}
}

const freePort = async (host: string): Promise<number> => {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
};
