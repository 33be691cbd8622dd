import type {Clock} from './clock.js';

type Sleeper = {
	readonly dueMs: number;
	readonly wake: () => void;
};

/**
 * A clock that moves only when told to. Sleepers wake in the order of their due times.
 *
 * @example
 * const clock = ManualClock.at(1000);
 * await clock.advance(50);
 */
export class ManualClock implements Clock {
	/** Creates a clock that shows `ms` as both wall and monotonic time. */
	static at(ms: number): ManualClock {
		return new ManualClock(ms);
	}

	private readonly sleepers = new Set<Sleeper>();

	private constructor(private timeMs: number) {}

	now(): number {
		return this.timeMs;
	}

	monotonic(): number {
		return this.timeMs;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		signal?.throwIfAborted();
		await new Promise<void>((resolve, reject) => {
			const cancel = this.after(ms, () => {
				signal?.removeEventListener('abort', onAbort);
				resolve();
			});
			const onAbort = () => {
				cancel();
				reject(signal?.reason as Error);
			};

			signal?.addEventListener('abort', onAbort, {once: true});
		});
	}

	after(ms: number, callback: () => void): () => void {
		const sleeper = {dueMs: this.timeMs + ms, wake: callback};
		this.sleepers.add(sleeper);
		return () => {
			this.sleepers.delete(sleeper);
		};
	}

	/** Moves time forward by `ms`, waking each sleeper at its own due time. */
	async advance(ms: number): Promise<void> {
		const endMs = this.timeMs + ms;
		for (;;) {
			await settle();
			const next = this.earliest();
			if (!next || next.dueMs > endMs) {
				break;
			}

			this.sleepers.delete(next);
			this.timeMs = Math.max(this.timeMs, next.dueMs);
			next.wake();
		}

		this.timeMs = endMs;
		await settle();
	}

	/** The sleeper that is due first; of several, the one that went to sleep first. */
	private earliest(): Sleeper | undefined {
		let first: Sleeper | undefined;
		for (const sleeper of this.sleepers) {
			if (!first || sleeper.dueMs < first.dueMs) {
				first = sleeper;
			}
		}

		return first;
	}
}

/** Lets every pending promise reaction run before the clock moves on. */
const settle = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};
