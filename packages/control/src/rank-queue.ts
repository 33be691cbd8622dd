/**
 * A call that waits for a permit.
 *
 * @example
 * const waiter: Waiter = {rank: 0, isStarted: false, enqueuedMs, expiresMs, grant, refuse};
 */
type Waiter = {
	readonly rank: number;
	/** Whether others have worked for its request already. */
	readonly isStarted: boolean;
	readonly enqueuedMs: number;
	readonly expiresMs: number;
	readonly grant: () => void;
	readonly refuse: () => void;
};

const shareHalfLifeMs = 500;

/** Share of its allowed wait that the oldest call has spent when the newest goes first. */
const newestFirstShare = 0.75;

/**
 * Waiting calls by rank. The most urgent rank goes first, save that a rank which has had less than
 * its floor of the recent grants goes before it. Inside a rank, calls of requests that others have
 * worked for already go before those at the entry. Among these the order is first come, first
 * served, until the oldest has waited for most of its time; then the newest goes first, since it
 * still has time to finish.
 *
 * @example
 * queue.push(waiter);
 * queue.next(clock.monotonic())?.grant();
 */
export class RankQueue {
	/** Creates an empty queue. */
	static create(floors: readonly number[]): RankQueue {
		return new RankQueue(floors);
	}

	/** Two lines for each rank: calls of started requests, then those at the entry. */
	private lines: Waiter[][];
	private served: number[];
	private decayedMs = 0;
	private count = 0;

	private constructor(private floors: readonly number[]) {
		this.lines = emptyLines(floors.length);
		this.served = floors.map(() => 0);
	}

	/** Number of calls that wait. */
	get size(): number {
		return this.count;
	}

	/** Takes up the floors of a new policy; waiting calls keep their places. */
	setFloors(floors: readonly number[]): void {
		const waiting = this.lines.flat();
		this.floors = floors;
		this.lines = emptyLines(floors.length);
		this.served = floors.map((_floor, rank) => this.served[rank] ?? 0);
		this.count = 0;
		for (const waiter of waiting) {
			this.push(waiter);
		}
	}

	/** Adds a call. */
	push(waiter: Waiter): void {
		this.lines[this.lineOf(waiter)]!.push(waiter);
		this.count++;
	}

	/** Removes one call, such as one that was cancelled. */
	remove(waiter: Waiter): boolean {
		const line = this.lines[this.lineOf(waiter)]!;
		const index = line.indexOf(waiter);
		if (index === -1) {
			return false;
		}

		line.splice(index, 1);
		this.count--;
		return true;
	}

	/** Removes the oldest of the least important calls below this one, to make room. */
	evictBelow(call: Pick<Waiter, 'rank' | 'isStarted'>): Waiter | undefined {
		for (let lowest = this.lines.length - 1; lowest > this.lineOf(call); lowest--) {
			const waiter = this.lines[lowest]!.shift();
			if (waiter) {
				this.count--;
				return waiter;
			}
		}

		return undefined;
	}

	/** Removes every call whose time is up. */
	expired(nowMs: number): Waiter[] {
		const gone = this.lines.flat().filter(({expiresMs}) => expiresMs <= nowMs);
		for (const waiter of gone) {
			this.remove(waiter);
		}

		return gone;
	}

	/** Notes that a call of a rank got a permit without waiting. */
	countServed(rank: number, nowMs: number): void {
		this.decay(nowMs);
		this.served[Math.min(rank, this.served.length - 1)]!++;
	}

	/** Removes and returns the call that goes next. */
	next(nowMs: number): Waiter | undefined {
		this.decay(nowMs);
		const rank = this.nextRank();
		if (rank === undefined) {
			return undefined;
		}

		const started = this.lines[rank * 2]!;
		const waiting = started.length > 0 ? started : this.lines[rank * 2 + 1]!;
		const {enqueuedMs, expiresMs} = waiting[0]!;
		const isLate = nowMs - enqueuedMs > (expiresMs - enqueuedMs) * newestFirstShare;
		const waiter = isLate ? waiting.pop()! : waiting.shift()!;
		this.count--;
		this.served[rank]!++;
		return waiter;
	}

	private lineOf({rank, isStarted}: Pick<Waiter, 'rank' | 'isStarted'>): number {
		return Math.min(rank, this.floors.length - 1) * 2 + (isStarted ? 0 : 1);
	}

	private nextRank(): number | undefined {
		const total = this.served.reduce((sum, served) => sum + served, 0);
		let first: number | undefined;
		for (const [rank, floor] of this.floors.entries()) {
			if (this.lines[rank * 2]!.length + this.lines[rank * 2 + 1]!.length === 0) {
				continue;
			}

			if (this.served[rank]! < floor * total) {
				return rank;
			}

			first ??= rank;
		}

		return first;
	}

	private decay(nowMs: number): void {
		const share = 0.5 ** ((nowMs - this.decayedMs) / shareHalfLifeMs);
		this.decayedMs = nowMs;
		this.served = this.served.map(served => served * share);
	}
}

const emptyLines = (ranks: number): Waiter[][] => Array.from({length: ranks * 2}, () => []);
