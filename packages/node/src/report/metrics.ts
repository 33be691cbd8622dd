import {Counter, Gauge, Histogram, Registry, collectDefaultMetrics} from 'prom-client';

type Gauges = {
	readonly inFlight: () => number;
	readonly waiting: () => number;
	readonly limit: () => number;
	readonly members: () => number;
	readonly peers: () => number;
	readonly keys: () => number;
};

const latencyBucketsS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** How often the delay of the event loop is sampled, in milliseconds. Each sample wakes the process. */
const loopDelayPeriodMs = 500;

/**
 * Metrics of a node. Labels hold ranks and outcomes only, so that their number stays small.
 *
 * @example
 * metrics.countRequest('critical', 'good', 12);
 */
export class Metrics {
	/** Creates the metrics in a registry of their own; the gauges are read at each scrape. */
	static create(gauges: Gauges): Metrics {
		const metrics = new Metrics();
		const {registry} = metrics;
		collectDefaultMetrics({
			register: registry,
			eventLoopMonitoringPrecision: loopDelayPeriodMs,
		});
		const add = (name: string, help: string, read: () => number) =>
			new Gauge({
				name: `medlarsaddle_${name}`,
				help,
				registers: [registry],
				collect() {
					this.set(read());
				},
			});
		add('upstream_calls_in_flight', 'Calls that run on the upstream', gauges.inFlight);
		add('upstream_calls_waiting', 'Calls that wait for the upstream', gauges.waiting);
		add('upstream_concurrency_limit', 'Concurrency limit in force', gauges.limit);
		add('members_alive', 'Members of the data centre that are up', gauges.members);
		add('peer_connections', 'Connections that this node opened to others', gauges.peers);
		add('idempotency_keys', 'Idempotency keys that are remembered', gauges.keys);
		return metrics;
	}

	readonly registry = new Registry();
	/** Datagrams and their bytes, both directions. */
	traffic = {messages: 0, bytes: 0};
	/** Calls to the platform's store by kind. */
	readonly storeCalls = new Counter({
		name: 'medlarsaddle_store_calls_total',
		help: "Calls to the platform's object API",
		labelNames: ['kind'] as const,
		registers: [this.registry],
	});

	/** Bytes of counts sent to the members that collect them. */
	readonly reportBytes = new Counter({
		name: 'medlarsaddle_report_bytes_total',
		help: 'Bytes of counts sent to the members that collect them',
		registers: [this.registry],
	});

	private readonly controlBytes = new Counter({
		name: 'medlarsaddle_control_bytes_total',
		help: 'Bytes of datagrams between nodes',
		labelNames: ['direction'] as const,
		registers: [this.registry],
	});

	private readonly controlMessages = new Counter({
		name: 'medlarsaddle_control_messages_total',
		help: 'Datagrams between nodes',
		labelNames: ['direction'] as const,
		registers: [this.registry],
	});

	private readonly requests = new Counter({
		name: 'medlarsaddle_requests_total',
		help: 'Whole requests by rank and outcome',
		labelNames: ['rank', 'outcome'] as const,
		registers: [this.registry],
	});

	private readonly seconds = new Histogram({
		name: 'medlarsaddle_request_seconds',
		help: 'Time to the whole answer by rank',
		labelNames: ['rank'] as const,
		buckets: latencyBucketsS,
		registers: [this.registry],
	});

	private constructor() {}

	/** Counts a datagram. */
	countDatagram(direction: 'in' | 'out', bytes: number): void {
		this.controlBytes.inc({direction}, bytes);
		this.controlMessages.inc({direction});
		this.traffic = {
			messages: this.traffic.messages + 1,
			bytes: this.traffic.bytes + bytes,
		};
	}

	/** Counts a whole request. */
	countRequest(rank: string, outcome: string, elapsedMs: number): void {
		this.requests.inc({rank, outcome});
		this.seconds.observe({rank}, elapsedMs / 1000);
	}
}
