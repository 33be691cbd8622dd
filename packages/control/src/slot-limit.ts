import {HoldTimes} from './hold-times.js';
import type {Limit} from './limit.js';

/** Share of the slots in use, since some upstreams slow down when they are nearly full. */
const usableShare = 0.94;
const minLimit = 1;

/**
 * A fixed limit for an upstream with a known number of slots that only one node sends calls to.
 * Every call that runs there has passed this node, so the limit need not be estimated from latency.
 *
 * @example
 * SlotLimit.create(24).value; // 22
 */
export class SlotLimit implements Limit {
	/** Creates the limit of an upstream with this many slots. */
	static create(slots: number): SlotLimit {
		return new SlotLimit(Math.max(minLimit, Math.floor(slots * usableShare)));
	}

	private readonly holdTimes = HoldTimes.create();

	private constructor(readonly value: number) {}

	/** Never: the limit is known from the start. */
	get isRamping(): boolean {
		return false;
	}

	/** Smoothed hold time of a job, in milliseconds; undefined before the first call has ended. */
	baselineOf(job: string): number | undefined {
		return this.holdTimes.of(job) || undefined;
	}

	/** Records the hold time of a call. */
	sample(job: string, {heldMs}: {readonly heldMs: number}): void {
		this.holdTimes.record(job, heldMs);
	}

	/** Does nothing: the limit is fixed. */
	closeWindow(): void {}
}
