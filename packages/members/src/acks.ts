import type {Clock} from '@medlarsaddle/core';

/**
 * Acknowledgements that probes wait for, by sequence number.
 *
 * @example
 * const isUp = await acks.within(seq, 300);
 */
export class Acks {
	/** Creates an empty set. */
	static create(clock: Clock): Acks {
		return new Acks(clock);
	}

	private readonly waiting = new Map<number, () => void>();

	private constructor(private readonly clock: Clock) {}

	/** Resolves with true when the acknowledgement comes in time, else with false. */
	async within(seq: number, timeoutMs: number): Promise<boolean> {
		return new Promise(resolve => {
			const cancel = this.clock.after(timeoutMs, () => {
				this.waiting.delete(seq);
				resolve(false);
			});
			this.waiting.set(seq, () => {
				cancel();
				this.waiting.delete(seq);
				resolve(true);
			});
		});
	}

	/** Notes an acknowledgement; one that nobody waits for any more is ignored. */
	settle(seq: number): void {
		this.waiting.get(seq)?.();
	}
}
