import type {Message} from './message.js';

/**
 * The message type with the given `type` tag.
 *
 * @example
 * const onCall = ({id, request}: MessageOf<'call'>) => {};
 */
export type MessageOf<Type extends Message['type']> = Extract<Message, {readonly type: Type}>;
