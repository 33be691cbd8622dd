import type {Clock} from '@medlarsaddle/core';
import {gossipTiming} from './gossip-timing.js';

const minConsecutiveDifferences = 4;

/**
 * Decides when differing digests trigger a synchronization. Rumors take a moment to arrive, so
 * several consecutive comparisons have to differ, except on a node that has not synchronized yet.
 *
 * @example
 * if (syncTrigger.isDue(ownDigest !== receivedDigest)) {
 * 	synchronize();
 * }
 */
export class SyncTrigger {
	/** Creates the state of a node that has not synchronized yet. */
	static create(clock: Clock): SyncTrigger {
		return new SyncTrigger(clock);
	}

	private consecutiveDifferences = 0;
	private isFirstSync = true;
	private lastSyncMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock) {}

	/**
	 * Records a comparison. Returns true when the node should synchronize now, and then starts over.
	 */
	isDue(differs: boolean): boolean {
		this.consecutiveDifferences = differs ? this.consecutiveDifferences + 1 : 0;
		const nowMs = this.clock.monotonic();
		const isPersistent =
			this.consecutiveDifferences >= minConsecutiveDifferences || (differs && this.isFirstSync);
		if (!isPersistent || nowMs - this.lastSyncMs < gossipTiming.syncIntervalMs) {
			return false;
		}

		this.isFirstSync = false;
		this.consecutiveDifferences = 0;
		this.lastSyncMs = nowMs;
		return true;
	}
}
