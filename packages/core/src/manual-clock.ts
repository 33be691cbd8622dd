import type {Clock} from './clock.js';

type Timer = {
	readonly dueMs: number;
	readonly fire: () => void;
};

/**
 * A clock for tests that advances only when `advance` is called. Timers fire in the order of their
 * due times.
 *
 * @example
 * const clock = ManualClock.at(1000);
 * await clock.advance(50);
 */
export class ManualClock implements Clock {
	/** Creates a clock whose wall-clock and monotonic times are both `ms`. */
	static at(ms: number): ManualClock {
		return new ManualClock(ms);
	}

	private readonly timers = new Set<Timer>();

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
		const timer = {dueMs: this.timeMs + ms, fire: callback};
		this.timers.add(timer);
		return () => {
			this.timers.delete(timer);
		};
	}

	/** Moves time forward by `ms` and fires each timer at its own due time. */
	async advance(ms: number): Promise<void> {
		const endMs = this.timeMs + ms;
		for (;;) {
			await flushPromises();
			const next = this.nextTimer();
			if (!next || next.dueMs > endMs) {
				break;
			}

			this.timers.delete(next);
			this.timeMs = Math.max(this.timeMs, next.dueMs);
			next.fire();
		}

		this.timeMs = endMs;
		await flushPromises();
	}

	/** The timer that is due first; of several due at once, the one that was created first. */
	private nextTimer(): Timer | undefined {
		let first: Timer | undefined;
		for (const timer of this.timers) {
			if (!first || timer.dueMs < first.dueMs) {
				first = timer;
			}
		}

		return first;
	}
}

/** Lets all pending promise reactions run before the clock advances. */
const flushPromises = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};
