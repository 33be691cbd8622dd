import {type Message, type MessageOf, messageTypes} from '@medlarsaddle/wire';
import type {Handlers} from './handlers.js';

type ImmediateRequest = MessageOf<'sync' | 'key-ask' | 'inherit' | 'roll-up' | 'drain'>;

/**
 * Replies to a request whose handler returns its reply synchronously.
 *
 * @example
 * link.send(replyTo(handlers, message));
 */
export const replyTo = (handlers: Handlers, message: ImmediateRequest): Message => {
	switch (message.type) {
		case messageTypes.sync: {
			return handlers.sync(message);
		}

		case messageTypes.keyQuery: {
			return handlers.keyQuery(message);
		}

		case messageTypes.inherit: {
			return handlers.inherit(message);
		}

		case messageTypes.rollUp: {
			return handlers.rollUp(message);
		}

		case messageTypes.drain: {
			return handlers.drain(message);
		}
	}
};
