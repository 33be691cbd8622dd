import {codec} from './codec.js';
import {messageLayouts} from './message-layouts.js';
import {messageTypes} from './message-types.js';
import {bodyOf} from './body-of.js';
import {withBody} from './with-body.js';
import type {Message} from './message.js';

const {call, outcome} = messageLayouts;

/** Bodies from this size on are sent as they are; below it, one write costs less than the copy. */
const minSeparateBytes = 64 * 1024;

/** Stands for a body while the fields around it are encoded; its own encoding has a short header. */
const placeholder = Buffer.from('body placeholder');
const shortBodyHeaderBytes = 2;

/** MessagePack's type of bytes with a length of 32 bits. */
const bin32 = 0xc6;

/**
 * Encodes and decodes messages: those with a layout as lists, all others with field names.
 *
 * @example
 * const bytes = messageCodec.encode({type: messageTypes.cancel, id: 7});
 */
export const messageCodec = {
	encode(message: Message): Buffer {
		if (message.type === messageTypes.call) {
			return codec.encode(call.write(message));
		}

		return codec.encode(message.type === messageTypes.outcome ? outcome.write(message) : message);
	},

	/** Encodes a message as pieces that follow one another; a large body is one of them, not copied. */
	encodePieces(message: Message): readonly Uint8Array[] {
		const body = bodyOf(message);
		if (body === undefined || body.length < minSeparateBytes) {
			return [messageCodec.encode(message)];
		}

		const encoded = messageCodec.encode(withBody(message, placeholder));
		const start = encoded.indexOf(placeholder);
		if (start !== encoded.lastIndexOf(placeholder)) {
			return [messageCodec.encode(message)];
		}

		const bodyHeader = Buffer.allocUnsafe(5);
		bodyHeader.writeUInt8(bin32, 0);
		bodyHeader.writeUInt32BE(body.length, 1);
		const before = encoded.subarray(0, start - shortBodyHeaderBytes);
		const after = encoded.subarray(start + placeholder.length);
		return [Buffer.concat([before, bodyHeader]), body, after];
	},

	/** Decodes one message; throws when the bytes do not hold one. */
	decode(payload: Uint8Array): Message {
		const value = codec.decode(payload);
		const type: unknown = Array.isArray(value) ? value[0] : (value as Message | null)?.type;
		switch (type) {
			case messageTypes.call: {
				return call.read(value);
			}

			case messageTypes.outcome: {
				return outcome.read(value);
			}

			default: {
				if (typeof type !== 'string' || Array.isArray(value)) {
					throw new TypeError('Frame does not hold a message');
				}

				return value as Message;
			}
		}
	},
} as const;
