import type {Socket} from 'node:net';
import type {ByteShare} from '@medlarsaddle/control';
import {ByteQueue} from './byte-queue.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';
import {streamEndings} from './stream-endings.js';
import {TurnBudget} from './turn-budget.js';

/** Received bytes above which the socket is paused until they are read, unless somebody waits for them. */
const maxBufferedBytes = 16 * 1024;

/** Bytes that are waited for before a part of a longer read is taken. */
const minPartBytes = 64 * 1024;

/** Bytes of line ends between two messages above which their sender is taken for faulty. */
const maxEmptyBytes = 64 * 1024;

/** All connections of the process are served by one event loop. */
const processTurns = TurnBudget.create();

const carriageReturn = 13;
const lineFeed = 10;

type Chunk = Buffer | undefined;
type Ending = (typeof streamEndings)[keyof typeof streamEndings];

/**
 * Reads the bytes of a connection in order, for one task. Every method resolves with `undefined`
 * when the bytes end first; `ending` then tells whether they were all that the peer sent.
 *
 * @example
 * const reader = ByteReader.over(socket);
 * const head = await reader.readUntil('\r\n\r\n', 16_384);
 */
export class ByteReader {
	/**
	 * Creates a reader of a connected or connecting socket, whose data nobody else may read. Unread bytes
	 * are counted to the share, if one is given. Received bytes are given out as the budget of the turn
	 * allows, which all connections of the process share by default.
	 */
	static over(socket: Socket, share?: ByteShare, turns = processTurns): ByteReader {
		return new ByteReader(socket, share, turns);
	}

	private readonly pending = ByteQueue.create();
	private waiting: ((hasBytes: boolean) => void) | undefined;
	/** Whether bytes that somebody waits for are held back until a later turn. */
	private isHeldBack = false;
	private endedBy: Ending | undefined;
	private receivedCount = 0;

	private constructor(
		private readonly socket: Socket,
		private readonly share: ByteShare | undefined,
		private readonly turns: TurnBudget,
	) {
		socket.on('data', this.receive);
		socket.on('error', () => {
			this.end(streamEndings.reset);
		});
		socket.on('end', () => {
			// A reset right after data is reported as an end, but leaves no remote address.
			const isReset = socket.remoteAddress === undefined;
			this.end(isReset ? streamEndings.reset : streamEndings.finished);
		});
		socket.on('close', () => {
			// Without an end or an error before it, this process has destroyed the socket.
			this.end(this.endedBy ?? streamEndings.stopped);
		});
	}

	/** How the bytes have ended; undefined before. Received bytes may still be unread. */
	get ending(): Ending | undefined {
		return this.endedBy;
	}

	/** Number of bytes received since the start, read or not. */
	get receivedBytes(): number {
		return this.receivedCount;
	}

	/** Number of received bytes that are unread. */
	get bufferedBytes(): number {
		return this.pending.length;
	}

	/** Received bytes that are unread; they stay unread. */
	get unread(): Buffer {
		return this.pending.bytes;
	}

	/** Marks this number of bytes as read. */
	skip(count: number): void {
		this.take(count);
	}

	/** Waits for a later turn when this one has no room left for so much work on received bytes. */
	async spendTurn(units: number): Promise<void> {
		await this.turns.spend(units);
	}

	/**
	 * Skips line ends and waits for the byte after them; false when the connection ends first.
	 *
	 * @throws MessageError of kind `malformed` when nothing else comes.
	 */
	async skipEmptyLines(): Promise<boolean> {
		let skipped = 0;
		for (;;) {
			const {unread} = this;
			let end = 0;
			while (unread[end] === carriageReturn && unread[end + 1] === lineFeed) {
				end += 2;
			}

			this.skip(end);
			skipped += end;
			if (skipped > maxEmptyBytes) {
				throw new MessageError(
					messageFaults.malformed,
					'there is no end of empty lines; send none',
				);
			}

			const isCut = unread.length === end + 1 && unread[end] === carriageReturn;
			if (unread.length > end && !isCut) {
				return true;
			}

			if (!(await this.more())) {
				return false;
			}
		}
	}

	/** Discards unread bytes and all that follow; reading then resolves as at the end. */
	stop(): void {
		this.take(this.pending.length);
		this.end(streamEndings.stopped);
	}

	/** Reads whatever has been received, or waits for the next bytes. */
	async readChunk(): Promise<Chunk> {
		if (this.pending.length > 0) {
			return this.take(this.pending.length);
		}

		return (await this.more()) ? this.take(this.pending.length) : undefined;
	}

	/**
	 * Reads the bytes before a marker, and skips the marker.
	 *
	 * @throws MessageError of kind `tooLarge` when the marker is not among the first `maxBytes`.
	 */
	async readUntil(marker: string, maxBytes: number): Promise<Chunk> {
		let searched = 0;
		for (;;) {
			const index = this.unread.indexOf(marker, searched, 'latin1');
			if (index !== -1 && index <= maxBytes) {
				const bytes = this.take(index);
				this.skip(marker.length);
				return bytes;
			}

			if (this.pending.length > maxBytes) {
				throw new MessageError(
					messageFaults.tooLarge,
					`no end within ${maxBytes} bytes; send a smaller message`,
				);
			}

			searched = Math.max(0, this.pending.length - marker.length + 1);
			if (!(await this.more())) {
				return undefined;
			}
		}
	}

	/** Reads this number of bytes. */
	async readExactly(count: number): Promise<Chunk> {
		if (this.pending.length >= count) {
			return this.take(count);
		}

		// Memory that nothing was written to yet is not taken from the machine.
		const bytes = Buffer.allocUnsafeSlow(count);
		let filled = 0;
		while (filled < count) {
			const wanted = Math.min(count - filled, minPartBytes);
			while (this.pending.length < wanted) {
				if (!(await this.more())) {
					return undefined;
				}
			}

			const part = this.take(Math.min(count - filled, this.pending.length));
			filled += part.copy(bytes, filled);
		}

		return bytes;
	}

	/** Waits for further bytes; false when they have ended. */
	async more(): Promise<boolean> {
		if (this.endedBy !== undefined) {
			return false;
		}

		if (this.socket.isPaused()) {
			this.socket.resume();
		}

		return new Promise<boolean>(resolve => {
			this.waiting = resolve;
		});
	}

	private take(count: number): Buffer {
		const bytes = this.pending.take(count);
		this.share?.add(-bytes.length);
		return bytes;
	}

	private readonly receive = (chunk: Buffer): void => {
		if (this.endedBy === streamEndings.stopped) {
			return;
		}

		this.receivedCount += chunk.length;
		this.share?.add(chunk.length);
		this.pending.append(chunk);
		if (this.waiting && !this.isHeldBack && this.turns.take(chunk.length)) {
			this.settle(true);
		} else if (this.waiting) {
			this.holdBack(chunk.length);
		} else if (this.pending.length > maxBufferedBytes) {
			this.socket.pause();
		}
	};

	/** Gives received bytes out in a later turn, and receives no more until then. */
	private holdBack(bytes: number): void {
		this.socket.pause();
		if (!this.isHeldBack) {
			this.isHeldBack = true;
			this.turns.whenFree(bytes, () => {
				this.isHeldBack = false;
				this.settle(true);
				this.socket.resume();
			});
		}
	}

	/** Ends reading. A later failure or stop replaces an end by the peer, as unread bytes are lost. */
	private end(ending: Ending): void {
		if (this.endedBy === undefined || this.endedBy === streamEndings.finished) {
			this.endedBy = ending;
		}

		// Bytes that are held back come before the end.
		if (!this.isHeldBack || ending === streamEndings.stopped) {
			this.settle(false);
		}
	}

	private settle(hasBytes: boolean): void {
		const {waiting} = this;
		this.waiting = undefined;
		waiting?.(hasBytes);
	}
}
