import {messageTypes} from './message-types.js';
import type {Message} from './message.js';

/**
 * Returns the body that a message carries; undefined when it carries none.
 *
 * @example
 * const bytes = bodyOf(message)?.length ?? 0;
 */
export const bodyOf = (message: Message): Uint8Array | undefined => {
	if (message.type === messageTypes.call) {
		return message.request.body;
	}

	return message.type === messageTypes.outcome && message.outcome.result.kind === 'answer'
		? message.outcome.result.body
		: undefined;
};
