/**
 * A call that waits for a permit.
 *
 * @example
 * const waiter: Waiter = {rank: 0, isStarted: false, enqueuedMs, expiresMs, grant, refuse};
 */
type Waiter = {
	readonly rank: number;
	/** Whether other upstreams have already done work for the same request. */
	readonly isStarted: boolean;
	readonly enqueuedMs: number;
	readonly expiresMs: number;
	readonly grant: () => void;
	readonly refuse: () => void;
};

const grantHalfLifeMs = 500;

/** Once the oldest call has spent this share of its allowed wait, the newest call goes first. */
const newestFirstWaitShare = 0.75;

/**
 * A queue of waiting calls, served by rank. The most urgent rank goes first, except that a rank
 * which received less than its floor share of the recent grants goes before it. Within a rank,
 * calls of requests for which work has already been done go before calls at the entry. Among these
 * the order is first in, first out, until the oldest call has spent most of its allowed wait; then
 * the newest call goes first, since it still has time to finish.
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

	/** Two queues for each rank: calls of requests with prior work, then calls at the entry. */
	private queues: Waiter[][];
	private grants: number[];
	private lastDecayMs = 0;
	private count = 0;

	private constructor(private floors: readonly number[]) {
		this.queues = emptyQueues(floors.length);
		this.grants = floors.map(() => 0);
	}

	/** Number of waiting calls. */
	get size(): number {
		return this.count;
	}

	/** Applies the floors of a new policy; waiting calls keep their order. */
	setFloors(floors: readonly number[]): void {
		const waiting = this.queues.flat();
		this.floors = floors;
		this.queues = emptyQueues(floors.length);
		this.grants = floors.map((_floor, rank) => this.grants[rank] ?? 0);
		this.count = 0;
		for (const waiter of waiting) {
			this.push(waiter);
		}
	}

	/** Adds a call. */
	push(waiter: Waiter): void {
		this.queues[this.queueIndexOf(waiter)]!.push(waiter);
		this.count++;
	}

	/** Removes one call, for example after cancellation; false when it was not queued. */
	remove(waiter: Waiter): boolean {
		const queue = this.queues[this.queueIndexOf(waiter)]!;
		const index = queue.indexOf(waiter);
		if (index === -1) {
			return false;
		}

		queue.splice(index, 1);
		this.count--;
		return true;
	}

	/** Removes and returns the oldest of the least important calls below this one, to make room. */
	evictBelow(call: Pick<Waiter, 'rank' | 'isStarted'>): Waiter | undefined {
		for (let index = this.queues.length - 1; index > this.queueIndexOf(call); index--) {
			const waiter = this.queues[index]!.shift();
			if (waiter) {
				this.count--;
				return waiter;
			}
		}

		return undefined;
	}

	/** Removes and returns every call that has expired. */
	removeExpired(nowMs: number): Waiter[] {
		const expired = this.queues.flat().filter(({expiresMs}) => expiresMs <= nowMs);
		for (const waiter of expired) {
			this.remove(waiter);
		}

		return expired;
	}

	/** Records that a call of a rank got a permit without waiting. */
	noteGranted(rank: number, nowMs: number): void {
		this.decay(nowMs);
		this.grants[Math.min(rank, this.grants.length - 1)]!++;
	}

	/** Removes and returns the next call to serve; undefined when the queue is empty. */
	next(nowMs: number): Waiter | undefined {
		this.decay(nowMs);
		const rank = this.nextRank();
		if (rank === undefined) {
			return undefined;
		}

		const startedQueue = this.queues[rank * 2]!;
		const queue = startedQueue.length > 0 ? startedQueue : this.queues[rank * 2 + 1]!;
		const {enqueuedMs, expiresMs} = queue[0]!;
		const isNewestFirst = nowMs - enqueuedMs > (expiresMs - enqueuedMs) * newestFirstWaitShare;
		const waiter = isNewestFirst ? queue.pop()! : queue.shift()!;
		this.count--;
		this.grants[rank]!++;
		return waiter;
	}

	private queueIndexOf({rank, isStarted}: Pick<Waiter, 'rank' | 'isStarted'>): number {
		return Math.min(rank, this.floors.length - 1) * 2 + (isStarted ? 0 : 1);
	}

	private nextRank(): number | undefined {
		const total = this.grants.reduce((sum, granted) => sum + granted, 0);
		let first: number | undefined;
		for (const [rank, floor] of this.floors.entries()) {
			if (this.queues[rank * 2]!.length + this.queues[rank * 2 + 1]!.length === 0) {
				continue;
			}

			if (this.grants[rank]! < floor * total) {
				return rank;
			}

			first ??= rank;
		}

		return first;
	}

	private decay(nowMs: number): void {
		const decayFactor = 0.5 ** ((nowMs - this.lastDecayMs) / grantHalfLifeMs);
		this.lastDecayMs = nowMs;
		this.grants = this.grants.map(granted => granted * decayFactor);
	}
}

const emptyQueues = (ranks: number): Waiter[][] => Array.from({length: ranks * 2}, () => []);
