import {type Message, type MessageOf, messageTypes} from '@medlarsaddle/wire';

type Reply = MessageOf<
	| 'hello'
	| 'outcome'
	| 'probed'
	| 'synced'
	| 'key-told'
	| 'counted'
	| 'inherited'
	| 'rolled-up'
	| 'drained'
>;

const types = new Set<string>([
	messageTypes.hello,
	messageTypes.outcome,
	messageTypes.probed,
	messageTypes.synced,
	messageTypes.keyQueryReply,
	messageTypes.counted,
	messageTypes.inherited,
	messageTypes.rolledUp,
	messageTypes.drained,
]);

/**
 * Whether a message asks for nothing: a reply, or the greeting of a connection.
 *
 * @example
 * if (isReply(message)) {
 * 	return;
 * }
 */
export const isReply = (message: Message): message is Reply => types.has(message.type);
