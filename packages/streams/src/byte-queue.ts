/**
 * Bytes in the order in which they were received, in one piece. Appending copies each byte a bounded
 * number of times on average, however small the pieces are. What was taken is never written to again.
 *
 * @example
 * queue.append(chunk);
 * const head = queue.take(queue.bytes.indexOf('\r\n\r\n'));
 */
export class ByteQueue {
	/** Creates an empty queue. */
	static create(): ByteQueue {
		return new ByteQueue();
	}

	private store: Buffer = empty;
	private start = 0;
	private end = 0;
	/** Whether the store has room of its own behind its bytes; a received chunk has none. */
	private isGrown = false;

	private constructor() {}

	/** Number of bytes in the queue. */
	get length(): number {
		return this.end - this.start;
	}

	/** The bytes in the queue, which stay there. */
	get bytes(): Buffer {
		return this.store.subarray(this.start, this.end);
	}

	/** Adds bytes at the end. */
	append(chunk: Buffer): void {
		if (this.length === 0) {
			this.store = chunk;
			this.start = 0;
			this.end = chunk.length;
			this.isGrown = false;
			return;
		}

		if (!this.isGrown || this.end + chunk.length > this.store.length) {
			const grown = Buffer.allocUnsafe((this.length + chunk.length) * growthFactor);
			this.end = this.store.copy(grown, 0, this.start, this.end);
			this.start = 0;
			this.store = grown;
			this.isGrown = true;
		}

		this.end += chunk.copy(this.store, this.end);
	}

	/** Removes this number of bytes from the front and returns them. */
	take(count: number): Buffer {
		const bytes = this.store.subarray(this.start, this.start + count);
		this.start += count;
		if (this.length === 0) {
			this.clear();
		}

		return bytes;
	}

	/** Removes all bytes. */
	clear(): void {
		this.store = empty;
		this.start = 0;
		this.end = 0;
		this.isGrown = false;
	}
}

const growthFactor = 2;
const empty = Buffer.alloc(0);
