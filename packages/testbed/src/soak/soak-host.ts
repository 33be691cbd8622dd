import {type AddressInfo, createServer} from 'node:net';
import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';
import {Client} from 'undici';
import {DaemonOnPlatform} from '../harness/daemon-on-platform.js';
import type {RoutedUpstream} from '../upstream/routed-upstream.js';
import {Relay} from './relay.js';

type Opts = {
	readonly name: string;
	/** Number of the host, from 1, which gives it its loopback addresses. */
	readonly number: number;
	readonly dataCentre: string;
	readonly service: string;
	readonly storePort: number;
	/** Starts an upstream; each one has a name of its own. */
	readonly startUpstream: (instance: string, start: number) => Promise<RoutedUpstream>;
};

/** How often an upstream reports itself, in milliseconds. */
const reportMs = 500;

/**
 * A host of the soak: the real daemon as a process, an upstream, and a relay on each kind of connection
 * of the daemon. Daemon and upstream can end and start again; the relays stay.
 *
 * @example
 * const host = await SoakHost.start({name: 'a', number: 1, dataCentre, service, storePort, startUpstream});
 * host.relays.store.setFault(linkFaults.silence);
 */
export class SoakHost {
	/** Starts relays, upstream and daemon. */
	static async start(opts: Opts): Promise<SoakHost> {
		const {number, storePort, startUpstream, name} = opts;
		const ip = `127.0.1.${number}`;
		const streamIp = `127.0.2.${number}`;
		const loopback = '127.0.0.1';
		const peerPort = await freePort(ip);
		const at = (host: string, port: number | undefined) =>
			port === undefined ? undefined : {host, port};
		const relays = {
			callers: await Relay.start({target: () => at(loopback, host.daemon?.portOf('callers'))}),
			upstream: await Relay.start({target: () => at(loopback, host.upstream.port)}),
			peers: await Relay.start({host: ip, port: peerPort, target: () => at(streamIp, peerPort)}),
			store: await Relay.start({target: () => at(loopback, storePort)}),
		};
		const upstream = await startUpstream(`i-${name}-1`, 1);
		const host: SoakHost = new SoakHost(opts, relays, {ip, streamIp, peerPort}, upstream);
		await host.startDaemon();
		return host;
	}

	/** How often the daemon was started. */
	life = 0;
	private daemon: DaemonOnPlatform | undefined;
	private instances = 1;
	/** The last daemon that was told to stop, by its life. */
	private stopped = 0;
	private isLeaving = false;
	private turn: Promise<void> = Promise.resolve();

	private constructor(
		private readonly opts: Opts,
		readonly relays: Readonly<Record<'callers' | 'upstream' | 'peers' | 'store', Relay>>,
		private readonly place: {ip: string; streamIp: string; peerPort: number},
		private upstream: RoutedUpstream,
	) {}

	/** Its name. */
	get name(): string {
		return this.opts.name;
	}

	/** Whether its daemon runs. */
	get isRunning(): boolean {
		return this.daemon?.child.isRunning ?? false;
	}

	/** The last lines that its daemon logged. */
	get log(): ReadonlyArray<Record<string, unknown>> {
		return this.daemon?.child.lines ?? [];
	}

	private get instance(): string {
		return `i-${this.name}-${this.instances}`;
	}

	/** Opens a connection for one caller. */
	connect(): Client {
		return new Client(`http://127.0.0.1:${this.relays.callers.port}`, {pipelining: 1});
	}

	/** Starts the daemon, if none runs. */
	async startDaemon(): Promise<void> {
		await this.inTurn(async () => this.startStopped());
	}

	/** Sends a signal to the daemon. */
	signal(name: NodeJS.Signals): void {
		this.daemon?.child.signal(name);
	}

	/**
	 * Tells the daemon to stop. Returns whether this signal began the stop of a daemon that served
	 * callers.
	 */
	beginStop(): boolean {
		const isFirst = this.stopped !== this.life;
		const isServing = this.isRunning && this.daemon?.portOf('callers') !== undefined;
		this.signal('SIGTERM');
		this.stopped = this.life;
		return isFirst && isServing;
	}

	/** Waits until the daemon has ended, which a signal makes it do, and starts it again. */
	async restartDaemon(signal: 'SIGTERM' | 'SIGKILL'): Promise<void> {
		await this.inTurn(async () => {
			await this.daemon?.child.end(signal);
			await this.daemon?.stop();
			await this.startStopped();
		});
	}

	/** Puts a new upstream in the place of the present one, which ends at once. */
	async replaceUpstream(): Promise<void> {
		this.upstream.stop();
		this.instances++;
		this.upstream = await this.opts.startUpstream(this.instance, this.instances);
		this.isLeaving = false;
	}

	/** Lets the upstream say that it leaves; resolves with its name once a node confirmed that. */
	async drainUpstream(): Promise<string | undefined> {
		this.isLeaving = true;
		const {instance} = this;
		return (await this.report()) ? instance : undefined;
	}

	/** Task of the upstream's reports, until it is told to stop. */
	async keepReporting(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.report();
			await setTimeout(reportMs);
		}
	}

	/** Ends everything. */
	async stop(): Promise<void> {
		this.upstream.stop();
		await this.daemon?.stop();
		await Promise.all(Object.values(this.relays).map(async relay => relay.stop()));
	}

	/** Acts once all earlier starts and ends of the daemon are over. */
	private async inTurn(act: () => Promise<void>): Promise<void> {
		const before = this.turn;
		this.turn = before.then(act);
		await this.turn;
	}

	private async startStopped(): Promise<void> {
		if (this.isRunning) {
			return;
		}

		const {ip, streamIp, peerPort} = this.place;
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
		this.life++;
	}

	/** Reports the upstream once; false when no daemon took the report. */
	private async report(): Promise<boolean> {
		const port = this.daemon?.portOf('liveness');
		if (port === undefined || !this.isRunning) {
			return false;
		}

		try {
			const address = `127.0.0.1:${this.relays.upstream.port}`;
			const state = this.isLeaving ? 'draining' : 'ready';
			return (await this.upstream.report(port, state, address)) === 200;
		} catch {
			// The daemon is ending or paused; the next report tells it.
			return false;
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
