import type {Clock} from '@medlarsaddle/core';

/**
 * Acknowledgements that probes are waiting for, by sequence number.
 *
 * @example
 * const isUp = await acks.waitFor(seq, 300);
 */
export class PendingAcks {
	/** Creates an empty set. */
	static create(clock: Clock): PendingAcks {
		return new PendingAcks(clock);
	}

	private readonly resolvers = new Map<number, () => void>();

	private constructor(private readonly clock: Clock) {}

	/** Resolves with whether the acknowledgement arrives within `timeoutMs`. */
	async waitFor(seq: number, timeoutMs: number): Promise<boolean> {
		return new Promise(resolve => {
			const cancel = this.clock.after(timeoutMs, () => {
				this.resolvers.delete(seq);
				resolve(false);
			});
			this.resolvers.set(seq, () => {
				cancel();
				this.resolvers.delete(seq);
				resolve(true);
			});
		});
	}

	/** Records an acknowledgement; one that is no longer waited for is ignored. */
	resolve(seq: number): void {
		this.resolvers.get(seq)?.();
	}
}
