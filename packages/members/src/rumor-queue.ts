import type {Rumor} from './rumor.js';
import {rumorKey} from './rumor-key.js';

type Entry = {
	readonly rumor: Rumor;
	readonly bytes: number;
	sendCount: number;
};

const retransmitMultiplier = 3;
const maxEntries = 2000;

/**
 * Rumors that are still to be sent. Each is sent a number of times that grows with the logarithm of
 * the number of members, and is then dropped; those sent least often go first.
 *
 * @example
 * const rumors = queue.take(1000, table.size);
 */
export class RumorQueue {
	/** Creates an empty queue; `sizeOf` returns the encoded size of a rumor in bytes. */
	static create(sizeOf: (rumor: Rumor) => number): RumorQueue {
		return new RumorQueue(sizeOf);
	}

	private readonly entries = new Map<string, Entry>();

	private constructor(private readonly sizeOf: (rumor: Rumor) => number) {}

	/** Number of rumors in the queue. */
	get size(): number {
		return this.entries.size;
	}

	/** Adds a rumor, replacing an older one about the same subject. */
	add(rumor: Rumor): void {
		const key = rumorKey(rumor);
		this.entries.delete(key);
		if (this.entries.size >= maxEntries) {
			const oldest = this.entries.keys().next().value;
			this.entries.delete(oldest!);
		}

		this.entries.set(key, {rumor, bytes: this.sizeOf(rumor), sendCount: 0});
	}

	/** Returns rumors of up to `maxBytes` in total and counts each as sent once more. */
	take(maxBytes: number, memberCount: number): Rumor[] {
		const maxSends = retransmitMultiplier * Math.ceil(Math.log10(memberCount + 1) + 1);
		const taken: Rumor[] = [];
		let remainingBytes = maxBytes;
		for (const [key, entry] of [...this.entries].toSorted(
			(a, b) => a[1].sendCount - b[1].sendCount,
		)) {
			if (entry.bytes > remainingBytes) {
				continue;
			}

			remainingBytes -= entry.bytes;
			taken.push(entry.rumor);
			entry.sendCount++;
			if (entry.sendCount >= maxSends) {
				this.entries.delete(key);
			}
		}

		return taken;
	}
}
