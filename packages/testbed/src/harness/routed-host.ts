import type {Readable} from 'node:stream';
import {request} from 'undici';
import type {Child} from '../deploy/child.js';
import {RoutedUpstream} from '../upstream/routed-upstream.js';
import {DaemonOnPlatform} from './daemon-on-platform.js';

type Opts = {
	readonly id: string;
	readonly dataCentre: string;
	readonly service: string;
	readonly storeUrl: string;
	/** Program of the daemon; that of this project by default. */
	readonly daemon?: {readonly script: string; readonly flags: readonly string[]};
	/** Limits of its machine; none by default. */
	readonly limits?: {readonly memoryMb: number; readonly maxFds: number};
};

type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
};

const pollMs = 10;
const waitTimeoutMs = 20_000;

/**
 * A host as the platform runs one: the real daemon as a process with a settings file of the platform,
 * and a simulated upstream. It listens on free ports, which are read from the daemon's log.
 *
 * @example
 * const host = await RoutedHost.start({id: 'a', dataCentre: 'dc1', service: 'pay', storeUrl});
 */
export class RoutedHost {
	/** Starts the daemon and the upstream, which has not reported itself yet. */
	static async start({
		id,
		dataCentre,
		service,
		storeUrl,
		daemon: program,
		limits,
	}: Opts): Promise<RoutedHost> {
		const upstream = await RoutedUpstream.start(service, `i-${id}`);
		const daemon = await DaemonOnPlatform.start({
			id,
			dataCentre,
			service,
			upstreamAddress: upstream.address,
			storeUrl,
			...(program ? {daemon: program} : {}),
			...(limits ? {limits} : {}),
		});
		return new RoutedHost(daemon, upstream);
	}

	private constructor(
		private readonly daemonProcess: DaemonOnPlatform,
		readonly upstream: RoutedUpstream,
	) {}

	/** Process of the daemon. */
	get daemon(): Child {
		return this.daemonProcess.child;
	}

	/** Port for callers. */
	get callerPort(): number {
		return this.portOf('callers');
	}

	/** Port for the reports of upstreams. */
	get livenessPort(): number {
		return this.portOf('liveness');
	}

	/** Reports the upstream to the daemon. */
	async report(state: 'ready' | 'draining' = 'ready'): Promise<number> {
		return this.upstream.report(this.livenessPort, state);
	}

	/** Whether the daemon reports that it is ready for callers. */
	async isReady(): Promise<boolean> {
		const reply = await request(`http://127.0.0.1:${this.portOf('ready')}/-/ready`);
		await reply.body.dump();
		return reply.statusCode === 200;
	}

	/** Sends a request to the daemon as a caller. */
	async send(
		target: string,
		headers: Readonly<Record<string, string>>,
		method: 'GET' | 'PUT' = 'GET',
	): Promise<Answer> {
		const reply = await request(`http://127.0.0.1:${this.callerPort}${target}`, {
			method,
			headers: {host: 'shop.example', ...headers},
			body: method === 'PUT' ? 'content' : undefined,
		});
		return {status: reply.statusCode, headers: reply.headers, body: await reply.body.text()};
	}

	/** Sends a body to the daemon as a caller, in one request that may take as long as its route. */
	async put(target: string, body: Uint8Array | Readable): Promise<Answer> {
		const reply = await request(`http://127.0.0.1:${this.callerPort}${target}`, {
			method: 'PUT',
			headers: {host: 'shop.example', 'attempt-id': `put${target}`},
			body,
		});
		return {status: reply.statusCode, headers: reply.headers, body: await reply.body.text()};
	}

	/** Waits until a condition holds; rejects after a timeout. */
	async until(condition: () => Promise<boolean> | boolean): Promise<void> {
		const signal = AbortSignal.timeout(waitTimeoutMs);
		while (!(await condition())) {
			signal.throwIfAborted();
			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}

	/** Stops the upstream and the daemon. */
	async stop(): Promise<void> {
		this.upstream.stop();
		await this.daemonProcess.stop();
	}

	private portOf(part: 'ready' | 'liveness' | 'callers'): number {
		return this.daemonProcess.portOf(part)!;
	}
}
