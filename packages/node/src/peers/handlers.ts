import type {CallOutcome, Message, MessageOf} from '@medlarsaddle/wire';

/**
 * What a node does with the messages of others. Functions that return a message send it as reply.
 *
 * @example
 * const handlers: Handlers = {run, own, sync, keyDone, keyAsk, drain};
 */
export type Handlers = {
	/** Runs a call on this node's upstream. */
	run(request: MessageOf<'call'>['request'], signal: AbortSignal): Promise<CallOutcome>;
	/** Carries through a call whose key this node issued. */
	own(request: MessageOf<'call'>['request'], signal: AbortSignal): Promise<CallOutcome>;
	/** Finds an endpoint for a call that another data centre could not place. */
	spill(request: MessageOf<'call'>['request'], signal: AbortSignal): Promise<CallOutcome>;
	sync(message: MessageOf<'sync'>): Message;
	keyDone(message: MessageOf<'key-done'>): void;
	keyAsk(message: MessageOf<'key-ask'>): Message;
	count(message: MessageOf<'count'>): Promise<Message>;
	inherit(message: MessageOf<'inherit'>): Message;
	rollUp(message: MessageOf<'roll-up'>): Message;
	drain(message: MessageOf<'drain'>): Message;
};
