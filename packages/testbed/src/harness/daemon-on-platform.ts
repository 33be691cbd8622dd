import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {Child} from '../deploy/child.js';
import {programs} from '../deploy/programs.js';

type Opts = {
	readonly id: string;
	/** IP address of its host. */
	readonly ip?: string;
	/** Port for other nodes; a free one by default. */
	readonly peerPort?: number;
	readonly dataCentre: string;
	readonly service: string;
	/** Address of its upstream, as IP:PORT. */
	readonly upstreamAddress: string;
	readonly storeUrl: string;
	/** Program of the daemon, and the flags of Node.js; those of this project by default. */
	readonly daemon?: {readonly script: string; readonly flags: readonly string[]};
	/** Limits of its machine; none by default. */
	readonly limits?: {readonly memoryMb: number; readonly maxFds: number};
	/** Additional settings, as environment variables. */
	readonly env?: Readonly<Record<string, string>>;
};

const parts = ['ready', 'liveness', 'callers'] as const;

type Part = (typeof parts)[number];

/**
 * The real daemon as a process with a settings file of the platform. It listens on free ports,
 * which are read from its log.
 *
 * @example
 * const daemon = await DaemonOnPlatform.start({id: 'a', dataCentre, service, upstreamAddress, storeUrl});
 */
export class DaemonOnPlatform {
	/** Starts the daemon and waits until it listens. */
	static async start({
		id,
		ip = '127.0.0.1',
		peerPort = 0,
		dataCentre,
		service,
		upstreamAddress,
		storeUrl,
		daemon = {script: programs.daemon, flags: []},
		limits,
		env = {},
	}: Opts): Promise<DaemonOnPlatform> {
		const folder = await mkdtemp(path.join(os.tmpdir(), 'medlarsaddle-'));
		const file = path.join(folder, 'settings.json');
		const freePort = '127.0.0.1:0';
		const settings = {
			nodeName: id,
			ip,
			zone: dataCentre,
			region: 'r',
			listen: {inbound: freePort, outbound: freePort, ready: freePort, control: freePort},
			portRange: [peerPort, peerPort],
			service,
			appAddr: upstreamAddress,
			bounds: ['graceS=6'],
			...(limits ? {limits} : {}),
			platform: {address: storeUrl.replace('http://', ''), readsPerS: 2000},
		};
		await writeFile(file, JSON.stringify(settings));
		const ports = new Map<Part, number>();
		const child = await Child.start({
			...daemon,
			args: ['--platform', file],
			env: Object.fromEntries([['MEDLARSADDLE_HTTP_PORT', '0'], ...Object.entries(env)]),
			parseReadyLine(line) {
				if (parts.includes(line.part as Part)) {
					ports.set(line.part as Part, Number(line.port));
				}

				return line.ports;
			},
		});
		return new DaemonOnPlatform(child, ports, folder);
	}

	private constructor(
		readonly child: Child,
		private readonly ports: ReadonlyMap<Part, number>,
		private readonly folder: string,
	) {}

	/** Port of a part; undefined until the daemon has logged it. */
	portOf(part: Part): number | undefined {
		return this.ports.get(part);
	}

	/** Kills the daemon and removes its settings. */
	async stop(): Promise<void> {
		await this.child.end();
		await rm(this.folder, {recursive: true, force: true});
	}
}
