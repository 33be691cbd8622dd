import type {Clock} from '@medlarsaddle/core';

type Losses = {
	/** Nodes at which calls were lost since the last reply from their data centre. */
	readonly nodes: Set<string>;
	unreachableUntilMs: number;
};

/** Least number of nodes at which calls were lost; a single node may have failed by itself. */
const minLostNodes = 2;

/** How long a data centre counts as unreachable after the last lost call. */
const unreachableMs = 1000;

/**
 * Detects data centres that are unreachable from this node. Otherwise, when a data centre is cut
 * off, calls to each of its endpoints would be lost in turn, each until that endpoint is found to
 * be silent.
 *
 * @example
 * reachability.noteLost('dc2', 'dc2-a');
 * reachability.noteLost('dc2', 'dc2-b');
 * reachability.isUnreachable('dc2'); // true, until a node there replies or a second has passed
 */
export class DataCentreReachability {
	/** Creates a detector for which every data centre is reachable. */
	static create(clock: Clock): DataCentreReachability {
		return new DataCentreReachability(clock);
	}

	private readonly losses = new Map<string, Losses>();

	private constructor(private readonly clock: Clock) {}

	/** Records a call to a node that got no answer and no other sign that the node is reachable. */
	noteLost(dataCentre: string, node: string): void {
		const nowMs = this.clock.monotonic();
		const known = this.losses.get(dataCentre);
		const losses =
			known && known.unreachableUntilMs > nowMs
				? known
				: {nodes: new Set<string>(), unreachableUntilMs: 0};
		losses.nodes.add(node);
		losses.unreachableUntilMs = nowMs + unreachableMs;
		this.losses.set(dataCentre, losses);
	}

	/** Records an answer or a refusal from a node of a data centre. */
	noteReply(dataCentre: string): void {
		this.losses.delete(dataCentre);
	}

	/** Whether a data centre should be avoided while there are others. */
	isUnreachable(dataCentre: string): boolean {
		const losses = this.losses.get(dataCentre);
		return (
			losses !== undefined &&
			losses.nodes.size >= minLostNodes &&
			losses.unreachableUntilMs > this.clock.monotonic()
		);
	}
}
