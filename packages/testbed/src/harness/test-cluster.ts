import {type Log, createLog, createSystemClock} from '@medlarsaddle/core';
import {Node, readSettings} from '@medlarsaddle/node';
import {openStore} from '@medlarsaddle/platform';
import {Platform} from '../platform/platform.js';
import {Upstream} from '../upstream/upstream.js';

type HostSpec = {
	readonly dataCentre: string;
	readonly service: string;
	readonly slots?: number;
	readonly serviceMs?: number;
	readonly connections?: number;
	readonly coldRequests?: number;
};

type Opts = {
	readonly hosts: readonly HostSpec[];
	readonly admission?: 'on' | 'off';
	readonly hasPlatform?: boolean;
	readonly rollUpMs?: number;
};

type Host = {
	readonly node: Node;
	readonly upstream: Upstream;
	readonly id: string;
};

const pollMs = 10;
const waitTimeoutMs = 20_000;
const defaultRollUpMs = 15_000;

/**
 * Nodes, upstreams and a platform in one process, on free ports. Tests wait for conditions, never
 * for a fixed time.
 *
 * @example
 * const cluster = await TestCluster.start({hosts: [{dataCentre: 'dc1', service: 'payment'}]});
 */
export class TestCluster {
	/** Starts everything and waits until every node lists every upstream of its data centre. */
	static async start(opts: Opts): Promise<TestCluster> {
		const {hosts, hasPlatform = true} = opts;
		const platform = hasPlatform ? await Platform.start() : undefined;
		const cluster = new TestCluster(platform, opts);
		for (const spec of hosts) {
			await cluster.add(spec);
		}

		await cluster.waitForDiscovery();
		return cluster;
	}

	readonly hosts: Host[] = [];
	/** Log lines of all nodes. */
	readonly lines: string[] = [];
	private readonly clock = createSystemClock();
	private count = 0;

	private constructor(
		readonly platform: Platform | undefined,
		private readonly opts: Opts,
	) {}

	/** Starts a further host. */
	async add(spec: HostSpec, id = `${spec.dataCentre}-${++this.count}`): Promise<Host> {
		const node = await this.startNode(id, spec.dataCentre);
		const {service, slots = 4, serviceMs = 1, connections = 64, coldRequests} = spec;
		const upstream = await Upstream.start({
			service,
			slots,
			connections,
			serviceMs,
			coldRequests,
			nodePort: node.ports.upstream,
			seed: this.count,
		});
		const host = {node, upstream, id};
		this.hosts.push(host);
		return host;
	}

	/** Starts a node without an upstream. */
	async startNode(id: string, dataCentre: string): Promise<Node> {
		const seeds = this.hosts.map(({node}) => `127.0.0.1:${node.ports.peer}`).slice(0, 4);
		const {admission = 'on', rollUpMs = defaultRollUpMs} = this.opts;
		const settings = readSettings(
			[
				['node-id', id],
				['data-centre', dataCentre],
				['http-port', '0'],
				['upstream-port', '0'],
				['peer-port', '0'],
				['operator-port', '0'],
				['seeds', seeds.join(',')],
				['stop-seconds', '5'],
				['random-seed', String(this.count)],
				['admission', admission],
				['roll-up-ms', String(rollUpMs)],
				...(this.platform ? [['store-url', this.platform.url]] : []),
			].flatMap(([flag, value]) => [`--${flag}`, value!]),
			{},
		);
		const {clock} = this;
		const log: Log = createLog({
			clock,
			level: 'info',
			write: line => {
				this.lines.push(line);
			},
			base: {node: id},
		});
		return Node.start({settings: settings._unsafeUnwrap(), clock, log, openStore});
	}

	/** Waits until every node lists every upstream of its own data centre. */
	async waitForDiscovery(): Promise<void> {
		await this.until(() => this.hosts.every(({node}) => this.hasDiscoveredAll(node)));
	}

	/** Waits until a condition holds; rejects after a timeout. */
	async until(condition: () => boolean | Promise<boolean>): Promise<void> {
		const endMs = this.clock.now() + waitTimeoutMs;
		while (!(await condition())) {
			if (this.clock.now() > endMs) {
				throw new Error(`Condition did not hold in time: ${condition.toString()}`);
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	}

	/** Stops everything. */
	async stop(): Promise<void> {
		await Promise.all(this.hosts.map(async ({upstream}) => upstream.stop()));
		await Promise.all(this.hosts.map(async ({node}) => node.kill()));
		await this.platform?.stop();
	}

	private hasDiscoveredAll(node: Node): boolean {
		const localHosts = this.hosts.filter(({node: other}) => other.dataCentre === node.dataCentre);
		const discoveredIds = new Set(node.knownEndpoints.map(({node: id}) => id));
		return localHosts.every(({id, upstream}) => upstream.isStopped || discoveredIds.has(id));
	}
}
