import {HoldTimes} from './hold-times.js';
import type {Limit} from './limit.js';

/** Share of the slots that is used, since some upstreams slow down when they are nearly full. */
const usableShare = 0.94;
const minLimit = 1;

/**
 * A limit for an upstream whose slots are known and that is reached by one node only: whatever runs
 * there has passed this node, so nothing has to be found out from latency.
 *
 * @example
 * SlotLimit.create(24).value; // 22
 */
export class SlotLimit implements Limit {
	/** Creates the limit of an upstream with this many slots. */
	static create(slots: number): SlotLimit {
		return new SlotLimit(Math.max(minLimit, Math.floor(slots * usableShare)));
	}

	private readonly times = HoldTimes.create();

	private constructor(readonly value: number) {}

	/** Never: the limit is known from the start. */
	get isRamping(): boolean {
		return false;
	}

	/** Smoothed time of a job, in milliseconds; undefined before the first call ended. */
	baselineOf(job: string): number | undefined {
		return this.times.of(job) || undefined;
	}

	/** Takes in how long a call held its place. */
	sample(job: string, {heldMs}: {readonly heldMs: number}): void {
		this.times.note(job, heldMs);
	}

	/** Does nothing: the limit is fixed. */
	closeWindow(): void {}
}
