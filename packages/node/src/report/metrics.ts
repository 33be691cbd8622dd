import {Counter, Gauge, Histogram, Registry, collectDefaultMetrics} from 'prom-client';

type Gauges = {
	readonly inFlight: () => number;
	readonly waiting: () => number;
	readonly limit: () => number;
	readonly members: () => number;
	readonly peers: () => number;
	readonly keys: () => number;
	readonly heldBytes: () => number;
	readonly waitingBodies: () => number;
	readonly peerBytes: () => number;
};

const latencyBucketsS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** Period at which the event loop delay is sampled. Each sample wakes the process. */
const eventLoopSamplePeriodMs = 500;

/**
 * Prometheus metrics of a node. Requests are labelled only with their rank or route and their
 * outcome, so that the number of time series stays small.
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
			eventLoopMonitoringPrecision: eventLoopSamplePeriodMs,
		});
		const addGauge = (name: string, help: string, read: () => number) =>
			new Gauge({
				name: `medlarsaddle_${name}`,
				help,
				registers: [registry],
				collect() {
					this.set(read());
				},
			});
		addGauge('upstream_calls_in_flight', 'Calls that run on the upstream', gauges.inFlight);
		addGauge('upstream_calls_waiting', 'Calls that wait for the upstream', gauges.waiting);
		addGauge('upstream_concurrency_limit', 'Concurrency limit in force', gauges.limit);
		addGauge('members_alive', 'Members of the data centre that are up', gauges.members);
		addGauge('peer_connections', 'Connections that this node opened to others', gauges.peers);
		addGauge('idempotency_keys', 'Idempotency keys that are remembered', gauges.keys);
		addGauge('caller_held_bytes', 'Bytes held for callers', gauges.heldBytes);
		addGauge('caller_bodies_waiting', 'Bodies that wait for room', gauges.waitingBodies);
		addGauge('peer_held_bytes', 'Bytes held on links between nodes', gauges.peerBytes);
		return metrics;
	}

	readonly registry = new Registry();
	/** Number and bytes of the datagrams sent and received. */
	traffic = {messages: 0, bytes: 0};
	/** Calls to the platform's store, by kind. */
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

	private readonly requestSeconds = new Histogram({
		name: 'medlarsaddle_request_seconds',
		help: 'Time to the whole answer by rank',
		labelNames: ['rank'] as const,
		buckets: latencyBucketsS,
		registers: [this.registry],
	});

	private constructor() {}

	/** Counts a datagram between nodes. */
	countDatagram(direction: 'in' | 'out', bytes: number): void {
		this.controlBytes.inc({direction}, bytes);
		this.controlMessages.inc({direction});
		this.traffic = {
			messages: this.traffic.messages + 1,
			bytes: this.traffic.bytes + bytes,
		};
	}

	/** Counts a completed request and its time. */
	countRequest(rank: string, outcome: string, elapsedMs: number): void {
		this.requests.inc({rank, outcome});
		this.requestSeconds.observe({rank}, elapsedMs / 1000);
	}
}
