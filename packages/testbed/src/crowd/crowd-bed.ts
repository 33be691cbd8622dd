import {readFileSync, readdirSync} from 'node:fs';
import {setTimeout} from 'node:timers/promises';
import {configurationOf} from '../harness/configuration-of.js';
import {RoutedHost} from '../harness/routed-host.js';
import {programs} from '../deploy/programs.js';
import {Platform} from '../platform/platform.js';

type Opts = {
	readonly maxBodyBytes: number;
	/** Limits of each host. */
	readonly limits: {readonly memoryMb: number; readonly maxFds: number};
	/** Time of a route, in milliseconds. */
	readonly timeoutMs?: number;
};

const serviceNames = ['rounds', 'permits'] as const;
const samplePeriodMs = 20;

/** Samples without growth after which the memory is steady, and samples that are waited for at most. */
const enoughSamples = 40;
const maxSamples = 400;
const flags = ['--max-old-space-size=200', '--max-semi-space-size=4'];

/**
 * Two hosts with the real daemon, as the platform starts it, and the memory and descriptors that the
 * daemons use. A crowd of callers connects to the first one.
 *
 * @example
 * const bed = await CrowdBed.start({maxBodyBytes, limits: {memoryMb: 250, maxFds: 4100}});
 */
export class CrowdBed {
	/** Starts both hosts and waits until they serve each other's services. */
	static async start({maxBodyBytes, limits, timeoutMs = 30_000}: Opts): Promise<CrowdBed> {
		const platform = await Platform.start();
		const configuration = configurationOf({
			services: serviceNames,
			maxHeaderBytes: 8000,
			maxBodyBytes,
			timeoutMs,
			attempts: 1,
		});
		platform.write('config', 'main', configuration);
		const daemon = {script: programs.daemon, flags};
		const hosts = await Promise.all(
			serviceNames.map(async service =>
				RoutedHost.start({
					id: service,
					dataCentre: 'dc1',
					service,
					storeUrl: platform.url,
					daemon,
					limits,
				}),
			),
		);
		for (const host of hosts) {
			await host.until(async () => host.isReady());
			await host.report();
		}

		const bed = new CrowdBed(platform, hosts[0]!, hosts[1]!);
		await Promise.all(
			serviceNames.map(async name => bed.near.until(async () => bed.isServed(`/${name}/start`))),
		);
		return bed;
	}

	/** The most descriptors that a daemon was seen with. */
	mostDescriptors = 0;
	private readonly sampling: NodeJS.Timeout;
	private requestCount = 0;

	private constructor(
		private readonly platform: Platform,
		/** The host that the crowd connects to. */
		readonly near: RoutedHost,
		/** The host of the service `permits`. */
		readonly far: RoutedHost,
	) {
		this.sampling = setInterval(() => {
			this.countDescriptors();
		}, samplePeriodMs);
	}

	/** Whether both daemons run. */
	get isRunning(): boolean {
		return this.near.daemon.isRunning && this.far.daemon.isRunning;
	}

	/** The most memory that a daemon has held so far, in MB. */
	get peakMb(): number {
		return Math.max(...[this.near, this.far].map(({daemon}) => peakMbOf(daemon.pid)));
	}

	/** Whether an ordinary request is answered by its upstream. */
	async isServed(target: string): Promise<boolean> {
		this.requestCount++;
		const reply = await this.near.send(target, {
			'attempt-id': `ordinary-${this.requestCount}`,
			// Kept connections may be closed while they are idle.
			connection: 'close',
		});
		return reply.status === 200;
	}

	/** Counts the descriptors that the daemons have open now. */
	countDescriptors(): void {
		for (const {daemon} of [this.near, this.far]) {
			if (daemon.isRunning) {
				const {length} = readdirSync(`/proc/${daemon.pid}/fd`);
				this.mostDescriptors = Math.max(this.mostDescriptors, length);
			}
		}
	}

	/** Waits until what the near daemon holds no longer grows, as when it has read all that was sent. */
	async untilSteady(): Promise<void> {
		let steadySamples = 0;
		for (let sample = 0; sample < maxSamples && steadySamples < enoughSamples; sample++) {
			const before = this.peakMb;
			await setTimeout(samplePeriodMs);
			steadySamples = this.peakMb > before ? 0 : steadySamples + 1;
		}
	}

	/** Stops both hosts and the store. */
	async stop(): Promise<void> {
		clearInterval(this.sampling);
		await Promise.all([this.near.stop(), this.far.stop()]);
		await this.platform.stop();
	}
}

/** Largest resident size that a process has had, in MB. */
const peakMbOf = (pid: number): number => {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmHWM:\s+(\d+)/v.exec(status)?.[1] ?? Number.NaN) / 1024;
};
