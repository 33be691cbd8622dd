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

	private sleepers: Sleeper[] = [];

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
			const sleeper = {dueMs: this.timeMs + ms, wake: resolve};
			this.sleepers.push(sleeper);
			signal?.addEventListener('abort', () => {
				this.sleepers = this.sleepers.filter(other => other !== sleeper);
				reject(signal.reason as Error);
			});
		});
	}

	after(ms: number, callback: () => void): () => void {
		const sleeper = {dueMs: this.timeMs + ms, wake: callback};
		this.sleepers.push(sleeper);
		return () => {
			this.sleepers = this.sleepers.filter(other => other !== sleeper);
		};
	}

	/** Moves time forward by `ms`, waking each sleeper at its own due time. */
	async advance(ms: number): Promise<void> {
		const endMs = this.timeMs + ms;
		for (;;) {
			await settle();
			const next = this.sleepers.toSorted((a, b) => a.dueMs - b.dueMs)[0];
			if (!next || next.dueMs > endMs) {
				break;
			}

			this.sleepers = this.sleepers.filter(other => other !== next);
			this.timeMs = Math.max(this.timeMs, next.dueMs);
			next.wake();
		}

		this.timeMs = endMs;
		await settle();
	}
}

/** Lets every pending promise reaction run before the clock moves on. */
const settle = async (): Promise<void> => {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
};
