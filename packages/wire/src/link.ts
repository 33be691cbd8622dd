import type {Socket} from 'node:net';
import type {Clock} from '@medlarsaddle/core';
import {frames} from './frames.js';
import {messageCodec} from './message-codec.js';
import type {Message} from './message.js';

const maxBufferedBytes = 16 * 1024 * 1024;

/**
 * One stream of messages to another node.
 *
 * @example
 * const link = Link.over(socket, clock);
 * for await (const message of link.messages()) {
 * 	handle(message);
 * }
 */
export class Link {
	/** Takes over a connected socket. */
	static over(socket: Socket, clock: Clock): Link {
		socket.setNoDelay(true);
		return new Link(socket, clock);
	}

	private lastHeardMs: number;
	private bytesSent = 0;

	private constructor(
		private readonly socket: Socket,
		private readonly clock: Clock,
	) {
		this.lastHeardMs = clock.monotonic();
		socket.on('error', () => {});
	}

	/** When bytes last came in, in monotonic milliseconds. */
	get heardMs(): number {
		return this.lastHeardMs;
	}

	/** Bytes written since the link opened. */
	get sentBytes(): number {
		return this.bytesSent;
	}

	/** Whether the link can still carry messages. */
	get isOpen(): boolean {
		return !this.socket.destroyed && this.socket.writable;
	}

	/** Sends a message; false when the link is closed or too far behind, and nothing was sent. */
	send(message: Message): boolean {
		if (!this.isOpen || this.socket.writableLength > maxBufferedBytes) {
			return false;
		}

		const frame = frames.write(messageCodec.encode(message));
		this.bytesSent += frame.length;
		this.socket.write(frame);
		return true;
	}

	/** Messages in the order they came. Ends with the connection; throws on bytes that are none. */
	async *messages(): AsyncGenerator<Message> {
		for await (const payloads of frames.read(this.socket)) {
			this.lastHeardMs = this.clock.monotonic();
			for (const payload of payloads) {
				yield messageCodec.decode(payload);
			}
		}
	}

	/** Closes the connection at once. */
	close(): void {
		this.socket.destroy();
	}
}
