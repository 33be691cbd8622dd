import {messageTypes} from './message-types.js';
import type {Message} from './message.js';

/**
 * Returns a message with another body in place of the one that it carries.
 *
 * @example
 * const head = withBody(message, new Uint8Array());
 */
export const withBody = (message: Message, body: Uint8Array): Message => {
	if (message.type === messageTypes.call) {
		return {...message, request: {...message.request, body}};
	}

	if (message.type !== messageTypes.outcome || message.outcome.result.kind !== 'answer') {
		return message;
	}

	const {outcome} = message;
	return {...message, outcome: {...outcome, result: {...message.outcome.result, body}}};
};
