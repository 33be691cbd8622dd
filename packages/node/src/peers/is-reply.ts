import {type Message, type MessageOf, messageTypes} from '@medlarsaddle/wire';

type Reply = MessageOf<
	| 'hello'
	| 'outcome'
	| 'stalled'
	| 'probed'
	| 'synced'
	| 'key-told'
	| 'counted'
	| 'inherited'
	| 'rolled-up'
	| 'drained'
>;

const replyTypes = new Set<string>([
	messageTypes.hello,
	messageTypes.outcome,
	messageTypes.stalled,
	messageTypes.probed,
	messageTypes.synced,
	messageTypes.keyQueryReply,
	messageTypes.counted,
	messageTypes.inherited,
	messageTypes.rolledUp,
	messageTypes.drained,
]);

/**
 * Whether a message expects no reply because it is a reply itself, or the hello of a connection.
 *
 * @example
 * if (isReply(message)) {
 * 	return;
 * }
 */
export const isReply = (message: Message): message is Reply => replyTypes.has(message.type);
