import type {Clock} from '@medlarsaddle/core';
import {ByteShare} from './byte-share.js';

type Opts = {
	readonly clock: Clock;
	/** Bytes that all shares may hold together. */
	readonly capacityBytes: number;
	/** Called when a share is evicted, with its bytes. */
	readonly onEvicted?: (bytes: number) => void;
};

type Waiting = {
	readonly share: ByteShare;
	readonly bytes: number;
	readonly grant: (isGranted: boolean) => void;
};

/** Interval at which shares are compared while the budget is short, in milliseconds. */
const sweepMs = 500;

/**
 * Bytes moved in an interval, as a share of those that are held, below which a share may be evicted. A
 * body that takes the longest time that it is given moves more.
 */
const minMovedShare = 0.01;

/** Share of the budget that is held by connections alone. */
const negligibleShare = 0.1;

/**
 * Bytes that a process holds for others, bounded together. Who needs more than there is waits; while
 * someone waits, the shares that move the fewest of the bytes that they hold are evicted.
 *
 * @example
 * const budget = ByteBudget.create({clock, capacityBytes: 100 * 1024 * 1024});
 * const share = budget.open({movedBytes: () => reader.receivedBytes, evict: () => reader.stop()});
 */
export class ByteBudget {
	/** Creates a budget of which nothing is held. */
	static create(opts: Opts): ByteBudget {
		return new ByteBudget(opts);
	}

	/** Creates a budget that is never short. */
	static unlimited(clock: Clock): ByteBudget {
		return new ByteBudget({clock, capacityBytes: Number.POSITIVE_INFINITY});
	}

	private readonly shares = new Set<ByteShare>();
	private readonly waiting: Waiting[] = [];
	private held = 0;
	private isSweeping = false;

	private constructor(private readonly opts: Opts) {}

	/** Bytes that all shares hold now. */
	get heldBytes(): number {
		return this.held;
	}

	/** Number of shares that are open. */
	get shareCount(): number {
		return this.shares.size;
	}

	/** Number of shares that wait for bytes. */
	get waitingCount(): number {
		return this.waiting.length;
	}

	/** Opens a share that holds nothing. One without `evict` is never evicted. */
	open(holder: ConstructorParameters<typeof ByteShare>[1] = {}): ByteShare {
		const share = new ByteShare(this, holder);
		this.shares.add(share);
		return share;
	}

	/** Counts bytes of a share, also when there is no room for them. */
	add(bytes: number): void {
		this.held += bytes;
		this.grantWaiting();
		if (this.held > this.opts.capacityBytes) {
			this.startSweeping();
		}
	}

	/** Waits for room for the bytes of a share; false when the share was closed instead. */
	async reserve(share: ByteShare, bytes: number): Promise<boolean> {
		return new Promise(resolve => {
			this.waiting.push({share, bytes, grant: resolve});
			this.grantWaiting();
			if (this.waiting.length > 0) {
				this.startSweeping();
			}
		});
	}

	/** Forgets a share, which holds nothing any more. */
	close(share: ByteShare): void {
		this.shares.delete(share);
		for (const waiting of this.waiting.filter(other => other.share === share)) {
			this.waiting.splice(this.waiting.indexOf(waiting), 1);
			waiting.grant(false);
		}
	}

	/** Whether a share has room for further bytes. All have, while the other shares hold next to nothing. */
	private hasRoom(share: ByteShare, bytes: number): boolean {
		const {capacityBytes} = this.opts;
		const otherBytes = this.held - share.heldBytes;
		return this.held + bytes <= capacityBytes || otherBytes <= capacityBytes * negligibleShare;
	}

	/** Grants what there is room for, in order. */
	private grantWaiting(): void {
		for (
			let [next] = this.waiting;
			next && this.hasRoom(next.share, next.bytes);
			[next] = this.waiting
		) {
			this.waiting.shift();
			this.held += next.bytes;
			next.grant(true);
		}
	}

	private startSweeping(): void {
		if (!this.isSweeping) {
			this.isSweeping = true;
			this.markAll();
			this.opts.clock.after(sweepMs, this.sweep);
		}
	}

	private readonly sweep = (): void => {
		this.evictSlowest();
		this.isSweeping = this.waiting.length > 0 || this.held > this.opts.capacityBytes;
		if (this.isSweeping) {
			this.markAll();
			this.opts.clock.after(sweepMs, this.sweep);
		}
	};

	private markAll(): void {
		for (const share of this.shares) {
			share.mark();
		}
	}

	/**
	 * Evicts until the first that waits has room, as far as there are shares that hardly move. Those that
	 * wait themselves cannot move, and go last.
	 */
	private evictSlowest(): void {
		const waiting = new Set(this.waiting.map(({share}) => share));
		const slow = [...this.shares]
			.map(share => ({share, moved: share.movedShare, waits: Number(waiting.has(share))}))
			.filter(({share, moved}) => share.isEvictable && moved < minMovedShare)
			.toSorted(
				(a, b) => a.waits - b.waits || a.moved - b.moved || b.share.heldBytes - a.share.heldBytes,
			);
		let missingBytes = this.held + (this.waiting[0]?.bytes ?? 0) - this.opts.capacityBytes;
		for (const {share} of slow) {
			if (missingBytes <= 0) {
				return;
			}

			missingBytes -= share.heldBytes;
			this.opts.onEvicted?.(share.heldBytes);
			share.evict();
		}
	}
}
