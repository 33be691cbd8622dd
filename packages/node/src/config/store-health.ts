/**
 * Whether the platform's store answers, according to the latest call of this node.
 *
 * @example
 * if (health.recordFailure()) {
 * 	log(events.storeUnavailable);
 * }
 */
export class StoreHealth {
	/** Creates a health that counts as available until a call fails. */
	static create(): StoreHealth {
		return new StoreHealth();
	}

	private isUp = true;

	private constructor() {}

	/** Whether the last call was answered. */
	get isAvailable(): boolean {
		return this.isUp;
	}

	/** Records a failed call; returns whether the previous one was answered. */
	recordFailure(): boolean {
		const hasChanged = this.isUp;
		this.isUp = false;
		return hasChanged;
	}

	/** Records an answered call; returns whether the previous one failed. */
	recordSuccess(): boolean {
		const hasChanged = !this.isUp;
		this.isUp = true;
		return hasChanged;
	}
}
