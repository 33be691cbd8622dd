import type {CallOutcome, Message, MessageOf} from '@medlarsaddle/wire';

/**
 * Handlers of the messages that other nodes send. A message that a handler returns is sent as the
 * reply.
 *
 * @example
 * const handlers: Handlers = {
 * 	run, own, spill, sync, keyDone, keyQuery, count, inherit, rollUp, drain,
 * };
 */
export type Handlers = {
	/** Runs a call on this node's upstream. */
	run(request: MessageOf<'call'>['request'], signal: AbortSignal): Promise<CallOutcome>;
	/** Handles a call whose idempotency key this node issued. */
	own(request: MessageOf<'call'>['request'], signal: AbortSignal): Promise<CallOutcome>;
	/** Routes a call for which another data centre found no endpoint. */
	spill(request: MessageOf<'call'>['request'], signal: AbortSignal): Promise<CallOutcome>;
	sync(message: MessageOf<'sync'>): Message;
	keyDone(message: MessageOf<'key-done'>): void;
	keyQuery(message: MessageOf<'key-ask'>): Message;
	count(message: MessageOf<'count'>): Promise<Message>;
	inherit(message: MessageOf<'inherit'>): Message;
	rollUp(message: MessageOf<'roll-up'>): Message;
	drain(message: MessageOf<'drain'>): Message;
};
