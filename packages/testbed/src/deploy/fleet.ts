import {setTimeout as delay} from 'node:timers/promises';
import {Operators} from '@medlarsaddle/client';
import {type Clock, createSystemClock} from '@medlarsaddle/core';
import {Agent, request} from 'undici';
import {Child} from './child.js';
import type {Deployment} from './deployment.js';
import type {Host} from './host.js';
import {operate} from './operate.js';
import {programs} from './programs.js';
import {putPolicy} from './put-policy.js';
import {scaled} from './scaled.js';
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

const settlePollMs = 50;
const settleMs = 30_000;

/**
 * A deployment as separate processes on loopback: the platform, a node on each host and the upstream
 * beside it.
 *
 * @example
 * const fleet = await Fleet.start({deployment: hungary, scale: 0.1, seed: 1});
 * await fleet.stop();
 */
export class Fleet {
	/** Script of the node's program. */
	static readonly daemon = programs.daemon;

	/** Starts every process, puts the policy and waits until all know all. */
	static async start(opts: Opts): Promise<Fleet> {
		const platform = await Child.start({
			script: programs.platform,
			args: [],
			readyIn: line => line.ready,
		});
		const {url} = platform.ready as {url: string};
		const fleet = new Fleet(opts, platform, url);
		await fleet.addHosts();
		await fleet.settle();
		await putPolicy(opts.deployment.policy, fleet.hosts);
		return fleet;
	}

	readonly hosts: Host[] = [];
	private readonly left = new Set<Host>();
	private readonly agent = new Agent({connections: 64});

	private constructor(
		readonly opts: Opts,
		readonly platform: Child,
		readonly storeUrl: string,
	) {}

	/** Hosts that callers do not send to, because they left or were taken away. */
	get gone(): Host[] {
		return this.hosts.filter(host => this.left.has(host));
	}

	/** Lets callers send to a host no more. */
	leave(host: Host): void {
		this.left.add(host);
	}

	/** Lets callers send to a host again. */
	enter(host: Host): void {
		this.left.delete(host);
	}

	/** Crashes the upstream of a host, which then starts again. */
	async crash(host: Host): Promise<void> {
		await this.post(`${host.control}/crash`, {});
	}

	/** Crashes of all upstreams so far. */
	async crashes(): Promise<number> {
		let sum = 0;
		for (const {control, upstream} of this.hosts) {
			if (upstream.isRunning) {
				const reply = await request(`${control}/stats`, {dispatcher: this.agent});
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

	/** Addresses that callers can send to. */
	get callerUrls(): string[] {
		return this.hosts
			.filter(host => !this.left.has(host))
			.map(({ports}) => `http://127.0.0.1:${ports.http}`);
	}

	/** Starts the node of a host anew, and its upstream if it ended. */
	async restartHost(host: Host): Promise<void> {
		const node = await this.startNode(host.id, host.dataCentre);
		host.node = node;
		host.ports = node.ready as Host['ports'];
		await host.upstream.end();
		host.upstream = await this.startUpstream(host.service, host.ports.upstream);
		const {control, direct} = host.upstream.ready as UpstreamReady;
		host.control = control;
		host.direct = direct;
	}

	/** Sends a fault to the upstream of a host. */
	async fault(host: Host, faults: Readonly<Record<string, unknown>>): Promise<void> {
		await this.post(`${host.control}/faults`, faults);
	}

	/** Sends a fault to the platform. */
	async faultPlatform(faults: Readonly<Record<string, unknown>>): Promise<void> {
		await this.post(`${this.storeUrl}/control/faults`, faults);
	}

	/** How often each request ran at the upstreams of a service. */
	async runsOf(service: string, ids: readonly string[]): Promise<Map<string, number>> {
		const total = new Map<string, number>();
		for (const {control, upstream} of this.hostsOf(service)) {
			if (!upstream.isRunning) {
				continue;
			}

			const counts = (await this.post(`${control}/runs`, ids)) as Record<string, number>;
			for (const [id, count] of Object.entries(counts)) {
				total.set(id, (total.get(id) ?? 0) + count);
			}
		}

		return total;
	}

	/** Runs and wasted runs of all upstreams that are up. */
	async stats(): Promise<{runs: number; wasted: number}> {
		const sum = {runs: 0, wasted: 0};
		for (const {control, upstream} of this.hosts) {
			if (upstream.isRunning) {
				const reply = await request(`${control}/stats`, {dispatcher: this.agent});
				const {runs, wasted} = (await reply.body.json()) as typeof sum;
				sum.runs += runs;
				sum.wasted += wasted;
			}
		}

		return sum;
	}

	/** Calls of the platform's API by kind. */
	async platformCalls(): Promise<Record<string, number>> {
		const reply = await request(`${this.storeUrl}/control/counts`, {dispatcher: this.agent});
		return (await reply.body.json()) as Record<string, number>;
	}

	/** Waits until every running node lists all upstreams of its data centre as ready for work. */
	async settle(): Promise<void> {
		const {clock = createSystemClock()} = this.opts;
		const endMs = clock.monotonic() + settleMs;
		for (const host of this.hosts) {
			const expected = this.hosts.filter(other => other.dataCentre === host.dataCentre).length;
			while ((await this.endpointsKnown(host)) < expected) {
				if (clock.monotonic() > endMs) {
					throw new Error(`${host.id} does not know its data centre in time`);
				}

				await delay(settlePollMs);
			}
		}
	}

	/** Ends every process. */
	async stop(): Promise<void> {
		await Promise.all(this.hosts.flatMap(({node, upstream}) => [node.end(), upstream.end()]));
		await this.platform.end();
		await this.agent.destroy();
	}

	/** Runs the operators' client against a host; resolves with what it prints. */
	async operate(host: Host, args: readonly string[]): Promise<{code: number; text: string}> {
		return operate(host, args);
	}

	private async addHosts(): Promise<void> {
		const {deployment} = this.opts;
		const places = deployment.services.flatMap(service =>
			Array.from({length: service.endpoints}, (_endpoint, index) => ({
				service,
				dataCentre: deployment.dataCentres[index % deployment.dataCentres.length]!,
				id: `${service.name}-${index}`,
			})),
		);
		const [first, ...others] = places;
		await this.addHost(first!);
		await Promise.all(others.map(async place => this.addHost(place)));
	}

	private async addHost(place: {
		readonly service: Deployment['services'][number];
		readonly dataCentre: string;
		readonly id: string;
	}): Promise<void> {
		const node = await this.startNode(place.id, place.dataCentre);
		const ports = node.ready as Host['ports'];
		const upstream = await this.startUpstream(place.service.name, ports.upstream);
		const {control, direct} = upstream.ready as UpstreamReady;
		this.hosts.push({
			id: place.id,
			dataCentre: place.dataCentre,
			service: place.service.name,
			node,
			ports,
			upstream,
			control,
			direct,
			slots: scaled(place.service.slots, this.opts.scale),
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
			slots: scaled(service.slots, scale),
			connections: scaled(service.connections, scale),
			serviceMs: service.serviceMs,
			nodePort,
			seed: seed + this.hosts.length,
			coldRequests,
		};
		return Child.start({
			script: programs.upstream,
			args: [JSON.stringify(options)],
			readyIn: line => line.ready,
		});
	}

	private async endpointsKnown({ports}: Host): Promise<number> {
		const operators = Operators.connect(`127.0.0.1:${ports.operator}`);
		const reply = await operators.call('getUpstreams', {service: ''});
		operators.close();
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
