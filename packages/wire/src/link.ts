import type {Socket} from 'node:net';
import type {Clock} from '@medlarsaddle/core';
import {frames} from './frames.js';
import {messageCodec} from './message-codec.js';
import type {Message} from './message.js';

/** Unsent bytes in the socket above which `send` refuses further messages. */
const maxBufferedBytes = 16 * 1024 * 1024;

/**
 * A stream of messages to and from another node, over one connection.
 *
 * @example
 * const link = Link.over(socket, clock);
 * for await (const message of link.messages()) {
 * 	handle(message);
 * }
 */
export class Link {
	/** Creates a link over a connected socket, which it then owns. */
	static over(socket: Socket, clock: Clock): Link {
		socket.setNoDelay(true);
		return new Link(socket, clock);
	}

	private receivedMs: number;
	private bytesSent = 0;

	private constructor(
		private readonly socket: Socket,
		private readonly clock: Clock,
	) {
		this.receivedMs = clock.monotonic();
		socket.on('error', () => {});
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
	 * full.
	 */
	send(message: Message): boolean {
		if (!this.isOpen || this.socket.writableLength > maxBufferedBytes) {
			return false;
		}

		const frame = frames.write(messageCodec.encode(message));
		this.bytesSent += frame.length;
		this.socket.write(frame);
		return true;
	}

	/**
	 * Yields messages in the order received, until the connection ends. Throws on malformed input.
	 */
	async *messages(): AsyncGenerator<Message> {
		for await (const payloads of frames.read(this.socket)) {
			this.receivedMs = this.clock.monotonic();
			for (const payload of payloads) {
				yield messageCodec.decode(payload);
			}
		}
	}

	/** Closes the connection immediately; unsent bytes are discarded. */
	close(): void {
		this.socket.destroy();
	}
}
