import {setTimeout as delay} from 'node:timers/promises';
import {NodeClient} from '@medlarsaddle/client';
import {type Clock, createSystemClock} from '@medlarsaddle/core';
import {Agent, request} from 'undici';
import {Child} from './child.js';
import type {Deployment} from './deployment.js';
import type {Host} from './host.js';
import {runClient} from './run-client.js';
import {programs} from './programs.js';
import {putPolicy} from './put-policy.js';
import {scaleCount} from './scale-count.js';
import {startNode} from './start-node.js';

type Opts = {
	readonly deployment: Deployment;
	readonly scale: number;
	readonly seed: number;
	readonly admission?: 'on' | 'off';
	readonly coldRequests?: number;
	readonly rollUpMs?: number;
	readonly clock?: Clock;
};

type UpstreamReady = {
	readonly control: string;
	readonly direct: string;
};

const discoveryPollMs = 50;
const discoveryTimeoutMs = 30_000;

/**
 * A deployment as separate processes on loopback: the platform, and for each host a node and an
 * upstream.
 *
 * @example
 * const fleet = await Fleet.start({deployment: hungary, scale: 0.1, seed: 1});
 * await fleet.stop();
 */
export class Fleet {
	/** Script of the node daemon. */
	static readonly daemon = programs.daemon;

	/** Starts every process, waits until all nodes list their upstreams, and puts the policy. */
	static async start(opts: Opts): Promise<Fleet> {
		const platform = await Child.start({
			script: programs.platform,
			args: [],
			parseReadyLine: line => line.ready,
		});
		const {url} = platform.ready as {url: string};
		const fleet = new Fleet(opts, platform, url);
		await fleet.addHosts();
		await fleet.waitForDiscovery();
		await putPolicy(opts.deployment.policy, fleet.hosts);
		return fleet;
	}

	readonly hosts: Host[] = [];
	private readonly withoutTraffic = new Set<Host>();
	private readonly agent = new Agent({connections: 64});

	private constructor(
		readonly opts: Opts,
		readonly platform: Child,
		readonly storeUrl: string,
	) {}

	/** Hosts that callers do not send to. */
	get hostsWithoutTraffic(): Host[] {
		return this.hosts.filter(host => this.withoutTraffic.has(host));
	}

	/** Stops callers from sending to a host. */
	stopTraffic(host: Host): void {
		this.withoutTraffic.add(host);
	}

	/** Lets callers send to a host again. */
	resumeTraffic(host: Host): void {
		this.withoutTraffic.delete(host);
	}

	/** Crashes the upstream of a host, which then restarts. */
	async crashUpstream(host: Host): Promise<void> {
		await this.post(`${host.controlUrl}/crash`, {});
	}

	/** Number of crashes of all running upstreams. */
	async countCrashes(): Promise<number> {
		let sum = 0;
		for (const {controlUrl, upstream} of this.hosts) {
			if (upstream.isRunning) {
				const reply = await request(`${controlUrl}/stats`, {dispatcher: this.agent});
				const {crashes} = (await reply.body.json()) as {crashes: number};
				sum += crashes;
			}
		}

		return sum;
	}

	/** Hosts of a service. */
	hostsOf(service: string): Host[] {
		return this.hosts.filter(host => host.service === service);
	}

	/** Base URLs that callers send to. */
	get callerUrls(): string[] {
		return this.hosts
			.filter(host => !this.withoutTraffic.has(host))
			.map(({ports}) => `http://127.0.0.1:${ports.http}`);
	}

	/** Restarts the node and the upstream of a host. */
	async restartHost(host: Host): Promise<void> {
		const node = await this.startNode(host.id, host.dataCentre);
		host.node = node;
		host.ports = node.ready as Host['ports'];
		await host.upstream.end();
		host.upstream = await this.startUpstream(host.service, host.ports.upstream);
		const {control, direct} = host.upstream.ready as UpstreamReady;
		host.controlUrl = control;
		host.upstreamUrl = direct;
	}

	/** Replaces the faults of the upstream of a host. */
	async setUpstreamFaults(host: Host, faults: Readonly<Record<string, unknown>>): Promise<void> {
		await this.post(`${host.controlUrl}/faults`, faults);
	}

	/** Replaces the faults of the platform. */
	async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await this.post(`${this.storeUrl}/control/faults`, faults);
	}

	/** Number of runs of each request at the running upstreams of a service. */
	async runsOf(service: string, ids: readonly string[]): Promise<Map<string, number>> {
		const total = new Map<string, number>();
		for (const {controlUrl, upstream} of this.hostsOf(service)) {
			if (!upstream.isRunning) {
				continue;
			}

			const counts = (await this.post(`${controlUrl}/runs`, ids)) as Record<string, number>;
			for (const [id, count] of Object.entries(counts)) {
				total.set(id, (total.get(id) ?? 0) + count);
			}
		}

		return total;
	}

	/** Number of runs and of wasted runs at all running upstreams. */
	async upstreamStats(): Promise<{runs: number; wasted: number}> {
		const sum = {runs: 0, wasted: 0};
		for (const {controlUrl, upstream} of this.hosts) {
			if (upstream.isRunning) {
				const reply = await request(`${controlUrl}/stats`, {dispatcher: this.agent});
				const {runs, wasted} = (await reply.body.json()) as typeof sum;
				sum.runs += runs;
				sum.wasted += wasted;
			}
		}

		return sum;
	}

	/** Number of calls of the platform's API, by kind. */
	async platformCalls(): Promise<Record<string, number>> {
		const reply = await request(`${this.storeUrl}/control/counts`, {dispatcher: this.agent});
		return (await reply.body.json()) as Record<string, number>;
	}

	/** Waits until every node lists all upstreams of its data centre as alive. */
	async waitForDiscovery(): Promise<void> {
		const {clock = createSystemClock()} = this.opts;
		const endMs = clock.monotonic() + discoveryTimeoutMs;
		for (const host of this.hosts) {
			const expected = this.hosts.filter(other => other.dataCentre === host.dataCentre).length;
			while ((await this.countKnownUpstreams(host)) < expected) {
				if (clock.monotonic() > endMs) {
					throw new Error(`${host.id} did not list all upstreams of its data centre in time`);
				}

				await delay(discoveryPollMs);
			}
		}
	}

	/** Ends every process. */
	async stop(): Promise<void> {
		await Promise.all(this.hosts.flatMap(({node, upstream}) => [node.end(), upstream.end()]));
		await this.platform.end();
		await this.agent.destroy();
	}

	/** Runs the operators' client against a host; resolves with its exit code and output. */
	async runClient(host: Host, args: readonly string[]): Promise<{code: number; text: string}> {
		return runClient(host, args);
	}

	private async addHosts(): Promise<void> {
		const {deployment} = this.opts;
		const hostSpecs = deployment.services.flatMap(service =>
			Array.from({length: service.endpoints}, (_endpoint, index) => ({
				service,
				dataCentre: deployment.dataCentres[index % deployment.dataCentres.length]!,
				id: `${service.name}-${index}`,
			})),
		);
		const [first, ...others] = hostSpecs;
		await this.addHost(first!);
		await Promise.all(others.map(async spec => this.addHost(spec)));
	}

	private async addHost(spec: {
		readonly service: Deployment['services'][number];
		readonly dataCentre: string;
		readonly id: string;
	}): Promise<void> {
		const node = await this.startNode(spec.id, spec.dataCentre);
		const ports = node.ready as Host['ports'];
		const upstream = await this.startUpstream(spec.service.name, ports.upstream);
		const {control, direct} = upstream.ready as UpstreamReady;
		this.hosts.push({
			id: spec.id,
			dataCentre: spec.dataCentre,
			service: spec.service.name,
			node,
			ports,
			upstream,
			controlUrl: control,
			upstreamUrl: direct,
			slots: scaleCount(spec.service.slots, this.opts.scale),
		});
	}

	private async startNode(id: string, dataCentre: string): Promise<Child> {
		const {admission, rollUpMs} = this.opts;
		const seeds = this.hosts
			.filter(host => host.node.isRunning && host.id !== id)
			.map(({ports}) => `127.0.0.1:${ports.peer}`);
		return startNode({id, dataCentre, seeds, storeUrl: this.storeUrl, admission, rollUpMs});
	}

	private async startUpstream(name: string, nodePort: number): Promise<Child> {
		const {deployment, scale, seed, coldRequests} = this.opts;
		const service = deployment.services.find(other => other.name === name)!;
		const options = {
			service: name,
			slots: scaleCount(service.slots, scale),
			connections: scaleCount(service.connections, scale),
			serviceMs: service.serviceMs,
			nodePort,
			seed: seed + this.hosts.length,
			coldRequests,
		};
		return Child.start({
			script: programs.upstream,
			args: [JSON.stringify(options)],
			parseReadyLine: line => line.ready,
		});
	}

	private async countKnownUpstreams({ports}: Host): Promise<number> {
		const client = NodeClient.connect(`127.0.0.1:${ports.operator}`);
		const reply = await client.call('getUpstreams', {service: ''});
		client.close();
		return reply.isOk() ? reply.value.upstreams.filter(({state}) => state === 'alive').length : 0;
	}

	private async post(url: string, body: unknown): Promise<unknown> {
		const reply = await request(url, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			dispatcher: this.agent,
		});
		return reply.body.json();
	}
}
