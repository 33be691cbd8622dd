import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Operators} from '@medlarsaddle/client';
import {type Clock, createSystemClock} from '@medlarsaddle/core';
import {Agent, request} from 'undici';
import {processUsage} from '../bench/process-usage.js';
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

/** One node of the swarm, inside one of its processes. */
type Place = {
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
 * Many nodes without traffic, several in a process, to measure what control costs and how news
 * spreads. Each has its own ports; their upstreams are announced but never called.
 *
 * @example
 * const swarm = await Swarm.start(60);
 */
export class Swarm {
	/** Starts `count` nodes in three data centres and waits until each knows its own data centre. */
	static async start(count: number, clock: Clock = createSystemClock()): Promise<Swarm> {
		const platform = await Child.start({
			script: script('platform'),
			args: [],
			readyIn: line => line.ready,
		});
		const {url} = platform.ready as {url: string};
		const swarm = new Swarm(platform, url, clock);
		await swarm.grow(count);
		await swarm.settle();
		return swarm;
	}

	readonly places: Place[] = [];
	private readonly children: Child[] = [];
	private readonly agent = new Agent({connections: 32});

	private constructor(
		readonly platform: Child,
		readonly storeUrl: string,
		readonly clock: Clock,
	) {}

	/** Processes that hold nodes. */
	get processes(): number {
		return this.children.length;
	}

	/** State of every node that is up. */
	async state(section?: string): Promise<NodeState[]> {
		const states = await Promise.all(
			this.children.map(async child => {
				const query = section === undefined ? '' : `?section=${encodeURIComponent(section)}`;
				const reply = await request(`${controlOf(child)}/state${query}`, {dispatcher: this.agent});
				return ((await reply.body.json()) as {nodes: NodeState[]}).nodes;
			}),
		);
		return states.flat();
	}

	/** Events of all nodes since the start, by number. */
	async events(): Promise<Record<string, number>> {
		const sums: Record<string, number> = {};
		for (const child of this.children) {
			const reply = await request(`${controlOf(child)}/state`, {dispatcher: this.agent});
			const {events} = (await reply.body.json()) as {events: Record<string, number>};
			for (const [code, count] of Object.entries(events)) {
				sums[code] = (sums[code] ?? 0) + count;
			}
		}

		return sums;
	}

	/** Waits until every node lists exactly the nodes of its data centre that are up. */
	async settle(limitMs = 60_000): Promise<void> {
		await this.until(async () => {
			const states = await this.state();
			return states.every(
				({dataCentre, members}) =>
					members ===
					this.places.filter(place => place.isUp && place.dataCentre === dataCentre).length,
			);
		}, limitMs);
	}

	/** Waits until a section has at least this version in every given node; resolves with the time. */
	async untilHeld(
		section: string,
		version: number,
		limitMs: number,
		isMeant: (state: NodeState) => boolean = () => true,
	): Promise<number> {
		const startMs = this.clock.monotonic();
		await this.until(async () => {
			const states = await this.state(section);
			return states.filter(state => isMeant(state)).every(state => state.version >= version);
		}, limitMs);
		return this.clock.monotonic() - startMs;
	}

	/** Puts a section at a node; resolves with its version, or with the kind of its fault. */
	async put(
		place: Place,
		change: {
			readonly name: string;
			readonly text: string;
			readonly expectedVersion: number;
			readonly changeId: string;
		},
	): Promise<number | string> {
		const operators = Operators.connect(`127.0.0.1:${place.ports.operator}`);
		const reply = await operators.call('putPolicy', {
			...change,
			author: 'bench',
			acceptWarnings: true,
			checkOnly: false,
		});
		operators.close();
		return reply.isOk() ? reply.value.version : reply.error.kind;
	}

	/** Processor time and memory of all processes that hold nodes. */
	async usage(): Promise<{cpuMs: number; rssMb: number}> {
		const sum = {cpuMs: 0, rssMb: 0};
		for (const child of this.children) {
			const {cpuMs, rssMb} = await processUsage(child.pid);
			sum.cpuMs += cpuMs;
			sum.rssMb += rssMb;
		}

		return sum;
	}

	/** Stops a node as planned, or kills it. */
	async end(place: Place, how: 'stop' | 'kill'): Promise<void> {
		place.isUp = false;
		await this.post(place.child, how, {id: place.id});
	}

	/** Starts the node of a place anew. */
	async restart(place: Place): Promise<void> {
		place.ports = await this.startNode(place.child, place.id, place.dataCentre);
		place.isUp = true;
	}

	/** Makes ports unreachable from the processes of one side; an empty list heals. */
	async cut(places: readonly Place[], ports: readonly number[]): Promise<void> {
		const sides = new Set(places.map(({child}) => child));
		await Promise.all([...sides].map(async child => this.post(child, 'cut', {ports})));
	}

	/** Replaces the faults of the platform. */
	async faultPlatform(faults: Readonly<Record<string, unknown>>): Promise<void> {
		const reply = await request(`${this.storeUrl}/control/faults`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(faults),
			dispatcher: this.agent,
		});
		await reply.body.dump();
	}

	/** Calls of the platform's API by kind. */
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

	/** Nodes of one process stand in one data centre, so that a cut between processes can part them. */
	private async grow(count: number): Promise<void> {
		const perDataCentre = Math.ceil(count / dataCentres.length);
		for (const dataCentre of dataCentres) {
			const processes = Math.ceil(perDataCentre / nodesPerProcess);
			const children = await Promise.all(
				Array.from({length: processes}, async () =>
					Child.start({script: script('nodes'), args: [], readyIn: line => line.ready}),
				),
			);
			this.children.push(...children);
			for (let index = 0; index < perDataCentre; index++) {
				const child = children[index % processes]!;
				const id = `${dataCentre}-${index}`;
				const ports = await this.startNode(child, id, dataCentre);
				this.places.push({id, dataCentre, child, ports, isUp: true});
			}
		}
	}

	private async startNode(child: Child, id: string, dataCentre: string): Promise<Ports> {
		const up = this.places.filter(place => place.isUp);
		const seeds = [
			...up.filter(place => place.dataCentre === dataCentre).slice(0, 3),
			...up.filter(place => place.dataCentre !== dataCentre).slice(0, 2),
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
		await this.announce(ports.upstream, `service-${this.places.length % 20}`);
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

	private async until(condition: () => Promise<boolean>, limitMs: number): Promise<void> {
		const endMs = this.clock.monotonic() + limitMs;
		while (!(await condition())) {
			if (this.clock.monotonic() > endMs) {
				throw new Error(`The swarm did not get there in ${limitMs} ms`);
			}

			await delay(pollMs);
		}
	}

	private async post(child: Child, path: string, body: unknown): Promise<unknown> {
		const reply = await request(`${controlOf(child)}/${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			dispatcher: this.agent,
		});
		return reply.body.json();
	}
}

const controlOf = (child: Child): string => (child.ready as {control: string}).control;
