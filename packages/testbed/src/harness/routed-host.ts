import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {request} from 'undici';
import {Child} from '../deploy/child.js';
import {programs} from '../deploy/programs.js';
import {RoutedUpstream} from '../upstream/routed-upstream.js';

type Opts = {
	readonly id: string;
	readonly dataCentre: string;
	readonly service: string;
	readonly storeUrl: string;
};

type Answer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly body: string;
};

const parts = ['ready', 'liveness', 'callers'] as const;
const pollMs = 10;
const waitMs = 20_000;

/**
 * A host as the platform runs one: the real daemon as a process with a settings file of the platform,
 * and an upstream stand-in beside it. All ports are free ones, which the daemon's log tells.
 *
 * @example
 * const host = await RoutedHost.start({id: 'a', dataCentre: 'dc1', service: 'pay', storeUrl});
 */
export class RoutedHost {
	/** Starts daemon and upstream; the upstream has not reported itself yet. */
	static async start({id, dataCentre, service, storeUrl}: Opts): Promise<RoutedHost> {
		const upstream = await RoutedUpstream.start(service, `i-${id}`);
		const folder = await mkdtemp(path.join(os.tmpdir(), 'medlarsaddle-'));
		const file = path.join(folder, 'settings.json');
		const free = '127.0.0.1:0';
		const settings = {
			nodeName: id,
			ip: '127.0.0.1',
			zone: dataCentre,
			region: 'r',
			listen: {inbound: free, outbound: free, ready: free, control: free},
			portRange: [0, 0],
			service,
			appAddr: upstream.address,
			bounds: ['graceS=6'],
			platform: {address: storeUrl.replace('http://', ''), readsPerS: 2000},
		};
		await writeFile(file, JSON.stringify(settings));
		const daemon = await Child.start({
			script: programs.daemon,
			args: ['--platform', file],
			env: Object.fromEntries([['MEDLARSADDLE_HTTP_PORT', '0']]),
			readyIn: line => line.ports,
		});
		return new RoutedHost(daemon, upstream, folder);
	}

	private constructor(
		readonly daemon: Child,
		readonly upstream: RoutedUpstream,
		private readonly folder: string,
	) {}

	/** Port for callers. */
	get callerPort(): number {
		return this.portOf('callers');
	}

	/** Reports the upstream to the daemon. */
	async report(state: 'ready' | 'draining' = 'ready'): Promise<number> {
		return this.upstream.report(this.portOf('liveness'), state);
	}

	/** Whether the daemon says that callers should use it. */
	async isReady(): Promise<boolean> {
		const reply = await request(`http://127.0.0.1:${this.portOf('ready')}/-/ready`);
		await reply.body.dump();
		return reply.statusCode === 200;
	}

	/** Sends a request as a caller on this host. */
	async send(
		target: string,
		headers: Readonly<Record<string, string>>,
		method: 'GET' | 'PUT' = 'GET',
	): Promise<Answer> {
		const reply = await request(`http://127.0.0.1:${this.portOf('callers')}${target}`, {
			method,
			headers: {host: 'shop.example', ...headers},
			body: method === 'PUT' ? 'content' : undefined,
		});
		return {status: reply.statusCode, headers: reply.headers, body: await reply.body.text()};
	}

	/** Waits until a condition holds; rejects when it does not in time. */
	async until(condition: () => Promise<boolean> | boolean): Promise<void> {
		const signal = AbortSignal.timeout(waitMs);
		while (!(await condition())) {
			signal.throwIfAborted();
			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}

	/** Ends everything. */
	async stop(): Promise<void> {
		this.upstream.stop();
		await this.daemon.end();
		await rm(this.folder, {recursive: true});
	}

	private portOf(part: (typeof parts)[number]): number {
		return Number(this.daemon.lines.find(line => line.part === part)?.port);
	}
}
