import {codec} from './codec.js';
import {messageLayouts} from './message-layouts.js';
import {messageTypes} from './message-types.js';
import type {Message} from './message.js';

const {call, outcome} = messageLayouts;

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
