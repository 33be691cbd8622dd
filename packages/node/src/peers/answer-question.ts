import {type Message, type MessageOf, messageTypes} from '@medlarsaddle/wire';
import type {Handlers} from './handlers.js';

type Question = MessageOf<'sync' | 'key-ask' | 'inherit' | 'roll-up' | 'drain'>;

/**
 * Answers a message that has its reply at once.
 *
 * @example
 * link.send(answerQuestion(handlers, message));
 */
export const answerQuestion = (handlers: Handlers, message: Question): Message => {
	switch (message.type) {
		case messageTypes.sync: {
			return handlers.sync(message);
		}

		case messageTypes.keyQuery: {
			return handlers.keyAsk(message);
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
