import type {Clock} from '@medlarsaddle/core';

type Losses = {
	/** Nodes that calls were lost at since anything was heard from their data centre. */
	readonly nodes: Set<string>;
	untilMs: number;
};

/** Nodes at which calls must have been lost; one alone may have failed by itself. */
const minNodes = 2;

/** How long a data centre counts as lost after the last call that was lost there, in milliseconds. */
const lostMs = 1000;

/**
 * Tells data centres that this node is cut off from. When one is cut off, calls to each of its
 * endpoints would otherwise be lost in turn, and every one of them for as long as it takes to notice.
 *
 * @example
 * places.lost('dc2', 'dc2-a');
 * places.lost('dc2', 'dc2-b');
 * places.isLost('dc2'); // true, until something is heard from there
 */
export class LostPlaces {
	/** Creates a state in which no data centre is lost. */
	static create(clock: Clock): LostPlaces {
		return new LostPlaces(clock);
	}

	private readonly losses = new Map<string, Losses>();

	private constructor(private readonly clock: Clock) {}

	/** Notes a call that got no answer from a node, nor anything that shows that it can be reached. */
	lost(dataCentre: string, node: string): void {
		const nowMs = this.clock.monotonic();
		const known = this.losses.get(dataCentre);
		const losses = known && known.untilMs > nowMs ? known : {nodes: new Set<string>(), untilMs: 0};
		losses.nodes.add(node);
		losses.untilMs = nowMs + lostMs;
		this.losses.set(dataCentre, losses);
	}

	/** Notes an answer or a refusal of a node. */
	heard(dataCentre: string): void {
		this.losses.delete(dataCentre);
	}

	/** Whether a data centre is to be left out while there are others. */
	isLost(dataCentre: string): boolean {
		const losses = this.losses.get(dataCentre);
		return (
			losses !== undefined &&
			losses.nodes.size >= minNodes &&
			losses.untilMs > this.clock.monotonic()
		);
	}
}
