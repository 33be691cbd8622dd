import type {Clock} from '@medlarsaddle/core';
import {gossipTiming} from './gossip-timing.js';

const lastingDifferences = 4;

/**
 * Decides when a difference between two nodes is worth a synchronization. News takes a moment to
 * arrive, so only a difference that lasts counts, save for a node that has not synchronized yet.
 *
 * @example
 * if (differences.isDue(mine !== theirs)) {
 * 	synchronize();
 * }
 */
export class Differences {
	/** Creates the state of a node that has not synchronized yet. */
	static create(clock: Clock): Differences {
		return new Differences(clock);
	}

	private count = 0;
	private isFirst = true;
	private lastMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/** Notes one comparison; true when the node should synchronize now, which starts a new count. */
	isDue(differs: boolean): boolean {
		this.count = differs ? this.count + 1 : 0;
		const nowMs = this.clock.monotonic();
		const isLasting = this.count >= lastingDifferences || (differs && this.isFirst);
		if (!isLasting || nowMs - this.lastMs < gossipTiming.syncIntervalMs) {
			return false;
		}

		this.isFirst = false;
		this.count = 0;
		this.lastMs = nowMs;
		return true;
	}
}
