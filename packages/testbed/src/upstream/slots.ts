/**
 * Slots of a simulated upstream. Work queues for a slot without bound, as in a server that has no
 * limit of its own.
 *
 * @example
 * await slots.acquire();
 * slots.release();
 */
export class Slots {
	/** Creates `count` free slots. */
	static create(count: number): Slots {
		return new Slots(count);
	}

	private readonly waiters: Array<() => void> = [];

	private constructor(private freeCount: number) {}

	/** Number of queued waiters. */
	get waiting(): number {
		return this.waiters.length;
	}

	/** Takes a slot; resolves when one is free. */
	async acquire(): Promise<void> {
		if (this.freeCount > 0) {
			this.freeCount--;
			return;
		}

		await new Promise<void>(resolve => {
			this.waiters.push(resolve);
		});
	}

	/** Passes the slot to the next waiter, or frees it. */
	release(): void {
		const next = this.waiters.shift();
		if (next) {
			next();
		} else {
			this.freeCount++;
		}
	}
}
