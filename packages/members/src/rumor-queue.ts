import type {Rumor} from './rumor.js';
import {rumorKey} from './rumor-key.js';

type Entry = {
	readonly rumor: Rumor;
	readonly bytes: number;
	sent: number;
};

const sendsPerLogMember = 3;
const maxEntries = 2000;

/**
 * News that is still to be sent. Each rumor goes out a number of times that grows with the
 * logarithm of the number of members, the least sent first, and is then dropped.
 *
 * @example
 * const rumors = queue.take(1000, table.size);
 */
export class RumorQueue {
	/** Creates an empty queue; `sizeOf` tells the encoded size of a rumor in bytes. */
	static create(sizeOf: (rumor: Rumor) => number): RumorQueue {
		return new RumorQueue(sizeOf);
	}

	private readonly entries = new Map<string, Entry>();

	private constructor(private readonly sizeOf: (rumor: Rumor) => number) {}

	/** Rumors that wait to be sent. */
	get size(): number {
		return this.entries.size;
	}

	/** Adds a rumor in place of any older one about the same. */
	add(rumor: Rumor): void {
		const key = rumorKey(rumor);
		this.entries.delete(key);
		if (this.entries.size >= maxEntries) {
			const oldest = this.entries.keys().next().value;
			this.entries.delete(oldest!);
		}

		this.entries.set(key, {rumor, bytes: this.sizeOf(rumor), sent: 0});
	}

	/** Takes rumors of up to `maxBytes` in all and counts them as sent once. */
	take(maxBytes: number, memberCount: number): Rumor[] {
		const maxSends = sendsPerLogMember * Math.ceil(Math.log10(memberCount + 1) + 1);
		const taken: Rumor[] = [];
		let left = maxBytes;
		for (const [key, entry] of [...this.entries].toSorted((a, b) => a[1].sent - b[1].sent)) {
			if (entry.bytes > left) {
				continue;
			}

			left -= entry.bytes;
			taken.push(entry.rumor);
			entry.sent++;
			if (entry.sent >= maxSends) {
				this.entries.delete(key);
			}
		}

		return taken;
	}
}
