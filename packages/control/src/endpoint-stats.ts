type Stats = {
	inFlight: number;
	latencyMs: number;
	failures: number;
	ejectedUntilMs: number;
	ejections: number;
	load: number;
	reportedMs: number;
};

const latencySmoothingFactor = 0.1;
const failuresToEject = 5;
const firstEjectionMs = 1000;
const maxEjectionMs = 30_000;
const loadValidMs = 1000;

/**
 * Statistics of each endpoint from this node's own calls: calls in flight, latency and failures.
 * Only these decide whether an endpoint is ejected; the health that an upstream reports does not
 * override them.
 *
 * @example
 * stats.noteSent('dc1-a');
 * stats.noteEnded('dc1-a', {isSuccess: true, latencyMs: 4}, clock.monotonic());
 */
export class EndpointStats {
	/** Creates statistics without endpoints. */
	static create(): EndpointStats {
		return new EndpointStats();
	}

	private readonly byNode = new Map<string, Stats>();

	private constructor() {}

	/** Records that a call was sent. */
	noteSent(node: string): void {
		this.of(node).inFlight++;
	}

	/** Records how a call ended. A refusal is neither a success nor a failure. */
	noteEnded(
		node: string,
		outcome: {readonly isSuccess?: boolean; readonly latencyMs?: number; readonly load?: number},
		nowMs: number,
	): void {
		const stats = this.of(node);
		stats.inFlight = Math.max(0, stats.inFlight - 1);
		if (outcome.load !== undefined) {
			stats.load = outcome.load;
			stats.reportedMs = nowMs;
		}

		if (outcome.isSuccess === true) {
			stats.failures = 0;
			stats.ejections = 0;
			stats.latencyMs +=
				((outcome.latencyMs ?? stats.latencyMs) - stats.latencyMs) * latencySmoothingFactor;
		}

		if (outcome.isSuccess === false) {
			stats.failures++;
			if (stats.failures >= failuresToEject) {
				stats.failures = 0;
				stats.ejectedUntilMs =
					nowMs + Math.min(maxEjectionMs, firstEjectionMs * 2 ** stats.ejections++);
			}
		}
	}

	/** Whether the endpoint is ejected at this time. */
	isEjected(node: string, nowMs: number): boolean {
		return (this.byNode.get(node)?.ejectedUntilMs ?? 0) > nowMs;
	}

	/** Expected cost of one more call; lower is better. */
	cost(node: string, weight: number, nowMs: number): number {
		const stats = this.of(node);
		const load = nowMs - stats.reportedMs < loadValidMs ? stats.load : 0;
		return ((stats.inFlight + 1) / Math.max(1, weight) + load) * Math.max(0.1, stats.latencyMs);
	}

	/** Removes endpoints that are not listed. */
	retainOnly(nodes: ReadonlySet<string>): void {
		for (const node of this.byNode.keys()) {
			if (!nodes.has(node)) {
				this.byNode.delete(node);
			}
		}
	}

	private of(node: string): Stats {
		const known = this.byNode.get(node);
		if (known) {
			return known;
		}

		const fresh = {
			inFlight: 0,
			latencyMs: 1,
			failures: 0,
			ejectedUntilMs: 0,
			ejections: 0,
			load: 0,
			reportedMs: Number.NEGATIVE_INFINITY,
		};
		this.byNode.set(node, fresh);
		return fresh;
	}
}
