import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {NodeClient} from '@medlarsaddle/client';
import {type Clock, createSystemClock} from '@medlarsaddle/core';
import {Agent, request} from 'undici';
import {readProcessUsage} from '../bench/read-process-usage.js';
import {Child} from './child.js';

type Ports = {
	readonly peer: number;
	readonly operator: number;
	readonly upstream: number;
};

type NodeState = {
	readonly id: string;
	readonly dataCentre: string;
	readonly members: number;
	readonly version: number;
	readonly traffic: {readonly messages: number; readonly bytes: number};
};

/** One node of the swarm and the process that hosts it. */
type SwarmNode = {
	readonly id: string;
	readonly dataCentre: string;
	readonly child: Child;
	ports: Ports;
	isUp: boolean;
};

const script = (name: string): string =>
	fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
const nodesPerProcess = 20;
const pollMs = 20;
const dataCentres = ['dc1', 'dc2', 'dc3'];
const announcedSlots = 60;

/**
 * Many nodes without traffic, several in each process, to measure the cost of the control plane and
 * how changes spread. Each has its own ports; upstreams are announced but never called.
 *
 * @example
 * const swarm = await Swarm.start(60);
 */
export class Swarm {
	/** Starts `count` nodes in three data centres and waits until each lists its own data centre. */
	static async start(count: number, clock: Clock = createSystemClock()): Promise<Swarm> {
		const platform = await Child.start({
			script: script('platform'),
			args: [],
			parseReadyLine: line => line.ready,
		});
		const {url} = platform.ready as {url: string};
		const swarm = new Swarm(platform, url, clock);
		await swarm.addNodes(count);
		await swarm.waitForDiscovery();
		return swarm;
	}

	readonly nodes: SwarmNode[] = [];
	private readonly children: Child[] = [];
	private readonly agent = new Agent({connections: 32});

	private constructor(
		readonly platform: Child,
		readonly storeUrl: string,
		readonly clock: Clock,
	) {}

	/** Number of processes that host nodes. */
	get processes(): number {
		return this.children.length;
	}

	/** State of every running node. */
	async state(section?: string): Promise<NodeState[]> {
		const states = await Promise.all(
			this.children.map(async child => {
				const query = section === undefined ? '' : `?section=${encodeURIComponent(section)}`;
				const reply = await request(`${controlUrlOf(child)}/state${query}`, {
					dispatcher: this.agent,
				});
				return ((await reply.body.json()) as {nodes: NodeState[]}).nodes;
			}),
		);
		return states.flat();
	}

	/** Number of log events of all nodes since the start, by event code. */
	async events(): Promise<Record<string, number>> {
		const sums: Record<string, number> = {};
		for (const child of this.children) {
			const reply = await request(`${controlUrlOf(child)}/state`, {dispatcher: this.agent});
			const {events} = (await reply.body.json()) as {events: Record<string, number>};
			for (const [code, count] of Object.entries(events)) {
				sums[code] = (sums[code] ?? 0) + count;
			}
		}

		return sums;
	}

	/** Waits until every node counts as many members as nodes run in its data centre. */
	async waitForDiscovery(limitMs = 60_000): Promise<void> {
		await this.waitUntil(async () => {
			const states = await this.state();
			return states.every(
				({dataCentre, members}) =>
					members === this.nodes.filter(node => node.isUp && node.dataCentre === dataCentre).length,
			);
		}, limitMs);
	}

	/** Waits until the selected nodes hold at least this version of a section; resolves with the time. */
	async waitUntilHeld(
		section: string,
		version: number,
		limitMs: number,
		isSelected: (state: NodeState) => boolean = () => true,
	): Promise<number> {
		const startMs = this.clock.monotonic();
		await this.waitUntil(async () => {
			const states = await this.state(section);
			return states.filter(state => isSelected(state)).every(state => state.version >= version);
		}, limitMs);
		return this.clock.monotonic() - startMs;
	}

	/** Puts a section at a node; resolves with its version, or with the kind of fault. */
	async put(
		node: SwarmNode,
		change: {
			readonly name: string;
			readonly text: string;
			readonly expectedVersion: number;
			readonly changeId: string;
		},
	): Promise<number | string> {
		const client = NodeClient.connect(`127.0.0.1:${node.ports.operator}`);
		const reply = await client.call('putPolicy', {
			...change,
			author: 'bench',
			acceptWarnings: true,
			checkOnly: false,
		});
		client.close();
		return reply.isOk() ? reply.value.version : reply.error.kind;
	}

	/** CPU time and memory of all processes that host nodes. */
	async usage(): Promise<{cpuMs: number; rssMb: number}> {
		const sum = {cpuMs: 0, rssMb: 0};
		for (const child of this.children) {
			const {cpuMs, rssMb} = await readProcessUsage(child.pid);
			sum.cpuMs += cpuMs;
			sum.rssMb += rssMb;
		}

		return sum;
	}

	/** Stops a node gracefully, or kills it. */
	async end(node: SwarmNode, how: 'stop' | 'kill'): Promise<void> {
		node.isUp = false;
		await this.post(node.child, how, {id: node.id});
	}

	/** Starts a node again under the same ID. */
	async restart(node: SwarmNode): Promise<void> {
		node.ports = await this.startNode(node.child, node.id, node.dataCentre);
		node.isUp = true;
	}

	/** Makes ports unreachable for the processes of these nodes; no ports end the partition. */
	async blockPorts(nodes: readonly SwarmNode[], ports: readonly number[]): Promise<void> {
		const processes = new Set(nodes.map(({child}) => child));
		await Promise.all([...processes].map(async child => this.post(child, 'cut', {ports})));
	}

	/** Replaces the faults of the platform. */
	async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
		const reply = await request(`${this.storeUrl}/control/faults`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(faults),
			dispatcher: this.agent,
		});
		await reply.body.dump();
	}

	/** Number of calls of the platform's API, by kind. */
	async platformCalls(): Promise<Record<string, number>> {
		const reply = await request(`${this.storeUrl}/control/counts`, {dispatcher: this.agent});
		return (await reply.body.json()) as Record<string, number>;
	}

	/** Ends every process. */
	async stop(): Promise<void> {
		await Promise.all(this.children.map(async child => child.end()));
		await this.platform.end();
		await this.agent.destroy();
	}

	/** Each process hosts nodes of one data centre, so that a partition can separate data centres. */
	private async addNodes(count: number): Promise<void> {
		const perDataCentre = Math.ceil(count / dataCentres.length);
		for (const dataCentre of dataCentres) {
			const processes = Math.ceil(perDataCentre / nodesPerProcess);
			const children = await Promise.all(
				Array.from({length: processes}, async () =>
					Child.start({script: script('nodes'), args: [], parseReadyLine: line => line.ready}),
				),
			);
			this.children.push(...children);
			for (let index = 0; index < perDataCentre; index++) {
				const child = children[index % processes]!;
				const id = `${dataCentre}-${index}`;
				const ports = await this.startNode(child, id, dataCentre);
				this.nodes.push({id, dataCentre, child, ports, isUp: true});
			}
		}
	}

	private async startNode(child: Child, id: string, dataCentre: string): Promise<Ports> {
		const upNodes = this.nodes.filter(node => node.isUp);
		const seeds = [
			...upNodes.filter(node => node.dataCentre === dataCentre).slice(0, 3),
			...upNodes.filter(node => node.dataCentre !== dataCentre).slice(0, 2),
		].map(({ports}) => `127.0.0.1:${ports.peer}`);
		const settings = {
			'node-id': id,
			'data-centre': dataCentre,
			'http-port': '0',
			'upstream-port': '0',
			'peer-port': '0',
			'operator-port': '0',
			seeds: seeds.join(','),
			'store-url': this.storeUrl,
			'stop-seconds': '2',
		};
		const ports = (await this.post(child, 'start', {settings})) as Ports;
		await this.announce(ports.upstream, `service-${this.nodes.length % 20}`);
		return ports;
	}

	private async announce(port: number, service: string): Promise<void> {
		const reply = await request(`http://127.0.0.1:${port}/medlar/upstream`, {
			method: 'PUT',
			body: JSON.stringify({service, port: 9, slots: announcedSlots}),
			dispatcher: this.agent,
		});
		await reply.body.dump();
	}

	private async waitUntil(condition: () => Promise<boolean>, limitMs: number): Promise<void> {
		const endMs = this.clock.monotonic() + limitMs;
		while (!(await condition())) {
			if (this.clock.monotonic() > endMs) {
				throw new Error(`Condition did not hold within ${limitMs} ms`);
			}

			await delay(pollMs);
		}
	}

	private async post(child: Child, path: string, body: unknown): Promise<unknown> {
		const reply = await request(`${controlUrlOf(child)}/${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			dispatcher: this.agent,
		});
		return reply.body.json();
	}
}

const controlUrlOf = (child: Child): string => (child.ready as {control: string}).control;
