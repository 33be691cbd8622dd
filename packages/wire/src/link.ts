import type {Socket} from 'node:net';
import {ByteBudget, type ByteShare} from '@medlarsaddle/control';
import type {Clock} from '@medlarsaddle/core';
import {ByteReader, minCountedBytes, streamEndings} from '@medlarsaddle/streams';
import {frames} from './frames.js';
import {messageCodec} from './message-codec.js';
import type {Message} from './message.js';

type Budgets = {
	/** What large messages may hold that are being received. */
	readonly receiving: ByteBudget;
	/** What large messages may hold that are not sent yet. */
	readonly sending: ByteBudget;
};

/** Unsent bytes of small messages above which `send` refuses further ones. */
const maxBufferedBytes = 16 * 1024 * 1024;

/**
 * A stream of messages to and from another node, over one connection.
 *
 * @example
 * const link = Link.over(socket, clock);
 * for (let batch = await link.receive(); batch; batch = await link.receive()) {
 * 	batch.forEach(handle);
 * }
 */
export class Link {
	/**
	 * Creates a link over a connected socket, which it then owns. Large messages take room of the budgets
	 * while they are received or sent.
	 */
	static over(socket: Socket, clock: Clock, budgets?: Budgets): Link {
		socket.setNoDelay(true);
		const unlimited = ByteBudget.unlimited(clock);
		return new Link(socket, clock, budgets ?? {receiving: unlimited, sending: unlimited});
	}

	private receivedMs: number;
	private bytesSent = 0;
	private readonly reader: ByteReader;
	private readonly receiving: ByteShare;
	private readonly sending: ByteShare;

	private constructor(
		private readonly socket: Socket,
		private readonly clock: Clock,
		budgets: Budgets,
	) {
		this.receiving = budgets.receiving.open();
		this.sending = budgets.sending.open();
		socket.once('close', () => {
			this.receiving.close();
			this.sending.close();
		});
		this.receivedMs = clock.monotonic();
		this.reader = ByteReader.over(socket);
	}

	/**
	 * When a message was last received, in monotonic milliseconds; at first, when the link was
	 * created.
	 */
	get lastReceivedMs(): number {
		return this.receivedMs;
	}

	/** Bytes sent since the link was opened. */
	get sentBytes(): number {
		return this.bytesSent;
	}

	/** Whether messages can still be sent. */
	get isOpen(): boolean {
		return !this.socket.destroyed && this.socket.writable;
	}

	/**
	 * Sends a message. Returns false, and sends nothing, when the link is closed or its buffer is
	 * full. A large message is counted to the budget, which its body has had room of before.
	 */
	send(message: Message): boolean {
		if (!this.isOpen || this.unsentBytes > maxBufferedBytes) {
			return false;
		}

		const pieces = messageCodec.encodePieces(message);
		if (pieces.length === 1) {
			this.write(frames.write(pieces[0]!));
			return true;
		}

		const payloadBytes = pieces.reduce((sum, {length}) => sum + length, 0);
		this.sending.add(payloadBytes);
		this.socket.cork();
		for (const piece of [frames.headerOf(payloadBytes), ...pieces]) {
			this.write(piece);
		}

		this.socket.write(noBytes, () => {
			this.sending.add(-payloadBytes);
		});
		this.socket.uncork();
		return true;
	}

	/**
	 * Waits for messages and returns those that have arrived, in order; undefined when the connection
	 * has ended. Throws on malformed input and when the connection was reset.
	 */
	async receive(): Promise<readonly Message[] | undefined> {
		const payloads = await this.receivePayloads();
		if (payloads.length > 0) {
			this.receivedMs = this.clock.monotonic();
			return payloads.map(payload => messageCodec.decode(payload));
		}

		if (this.reader.ending === streamEndings.reset) {
			throw new Error('The connection was reset');
		}

		return undefined;
	}

	/** Yields messages as `receive` returns them, until the connection ends. */
	async *messages(): AsyncGenerator<Message> {
		for (let batch = await this.receive(); batch; batch = await this.receive()) {
			yield* batch;
		}
	}

	/** Closes the connection immediately; unsent bytes are discarded. */
	close(): void {
		this.socket.destroy();
	}

	/** Unsent bytes of small messages; large ones have room of a budget. */
	private get unsentBytes(): number {
		return this.socket.writableLength - this.sending.heldBytes;
	}

	/** Reads a frame that has not come whole; a large one once there is room for it. */
	private async receiveFrame(size: number): Promise<Buffer | undefined> {
		if (size <= minCountedBytes) {
			return this.reader.readExactly(size);
		}

		if (!(await this.receiving.reserve(size))) {
			return undefined;
		}

		const frame = await this.reader.readExactly(size);
		this.receiving.add(-size);
		return frame;
	}

	private write(bytes: Uint8Array): void {
		this.bytesSent += bytes.length;
		this.socket.write(bytes);
	}

	/** Waits for whole frames and returns the payloads of those that have come; none at the end. */
	private async receivePayloads(): Promise<readonly Buffer[]> {
		const {reader} = this;
		for (;;) {
			const {unread} = reader;
			const {payloads, rest} = frames.split(unread);
			reader.skip(unread.length - rest.length);
			if (payloads.length > 0) {
				return payloads;
			}

			const size = frames.sizeOf(rest);
			if (size !== undefined) {
				const frame = await this.receiveFrame(size);
				return frame ? [frames.payloadOf(frame)] : [];
			}

			if (!(await reader.more())) {
				return [];
			}
		}
	}
}

const noBytes = new Uint8Array();
