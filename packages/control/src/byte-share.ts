import type {ByteBudget} from './byte-budget.js';

type Holder = {
	/** Bytes that have moved so far for the holder, in or out. */
	readonly movedBytes?: () => number;
	/** Ends the holder, which then closes the share. */
	readonly evict?: () => void;
};

/**
 * What one holder has of a budget of bytes. It is closed on every end of the holder.
 *
 * @example
 * if (await share.reserve(length)) {
 * 	body = await reader.readExactly(length);
 * }
 */
export class ByteShare {
	private held = 0;
	private isOpen = true;
	private isSettled = false;
	/** What had moved at the last mark; undefined before the first one. */
	private markedBytes: number | undefined;

	/** Use `ByteBudget.open`. */
	constructor(
		private readonly budget: ByteBudget,
		private readonly holder: Holder,
	) {}

	/** Bytes that the share holds. */
	get heldBytes(): number {
		return this.held;
	}

	/** Whether the holder may be ended, and was there at the last mark. */
	get isEvictable(): boolean {
		return (
			this.holder.evict !== undefined &&
			!this.isSettled &&
			this.held > 0 &&
			this.markedBytes !== undefined
		);
	}

	/** Bytes moved since the last mark, as a share of those that are held. */
	get movedShare(): number {
		return ((this.holder.movedBytes?.() ?? 0) - (this.markedBytes ?? 0)) / this.held;
	}

	/** Notes what has moved so far. */
	mark(): void {
		this.markedBytes = this.holder.movedBytes?.() ?? 0;
	}

	/** Counts bytes that are held already. A negative number counts them as given back. */
	add(bytes: number): void {
		if (this.isOpen) {
			this.held += bytes;
			this.budget.add(bytes);
		}
	}

	/** Waits for room for further bytes, and then holds them; false when the share was closed before. */
	async reserve(bytes: number): Promise<boolean> {
		const isGranted = this.isOpen && (await this.budget.reserve(this, bytes));
		if (isGranted && !this.isOpen) {
			this.budget.add(-bytes);
			return false;
		}

		this.held += isGranted ? bytes : 0;
		return isGranted;
	}

	/** Keeps the share from being evicted from now on. */
	settle(): void {
		this.isSettled = true;
	}

	/** Ends the holder. */
	evict(): void {
		this.holder.evict?.();
	}

	/** Gives all bytes back. Closing again has no effect. */
	close(): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.budget.close(this);
			this.budget.add(-this.held);
			this.held = 0;
		}
	}
}
