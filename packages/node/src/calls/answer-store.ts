import type {Clock} from '@medlarsaddle/core';
import type {Answer} from '@medlarsaddle/wire';

type StoredAnswer = {
	readonly fingerprint: string;
	readonly answer: Answer;
	readonly expiresMs: number;
};

const retentionMs = 600_000;
const maxEntries = 20_000;
const maxTotalBytes = 8 * 1024 * 1024;

/**
 * Stores the answers of keyed requests that other nodes ran, so that a retry still gets its answer
 * after the node that ran the request has failed. It never causes a request to run.
 *
 * @example
 * answers.put(key, fingerprint, answer);
 */
export class AnswerStore {
	/** Creates an empty store. */
	static create(clock: Clock): AnswerStore {
		return new AnswerStore(clock);
	}

	private readonly answers = new Map<string, StoredAnswer>();
	private totalBytes = 0;

	private constructor(private readonly clock: Clock) {}

	/** Stores an answer until it expires. When the store is full, the oldest answers are evicted. */
	put(key: string, fingerprint: string, answer: Answer): void {
		this.remove(key);
		this.totalBytes += answer.body.length;
		this.answers.set(key, {fingerprint, answer, expiresMs: this.clock.monotonic() + retentionMs});
		for (const [oldest, {expiresMs}] of this.answers) {
			const isOver = this.answers.size > maxEntries || this.totalBytes > maxTotalBytes;
			if (!isOver && expiresMs > this.clock.monotonic()) {
				return;
			}

			this.remove(oldest);
		}
	}

	/** Returns the answer of a key if it was stored for a request with the same fingerprint. */
	find(key: string, fingerprint: string): Answer | undefined {
		const found = this.answers.get(key);
		return found?.fingerprint === fingerprint ? found.answer : undefined;
	}

	private remove(key: string): void {
		const found = this.answers.get(key);
		if (found) {
			this.totalBytes -= found.answer.body.length;
			this.answers.delete(key);
		}
	}
}
