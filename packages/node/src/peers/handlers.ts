import type {CallOutcome, CallRequest, Message, MessageOf} from '@medlarsaddle/wire';

/**
 * Handles a call. `onStalled` takes the retries that the call returns once nothing shows whether the
 * upstream has received it; undefined when the calling node doesn't take that.
 */
type CallHandler = (
	request: CallRequest,
	signal: AbortSignal,
	onStalled: ((unspent: number) => void) | undefined,
) => Promise<CallOutcome>;

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
	readonly run: CallHandler;
	/** Handles a call whose idempotency key this node issued. */
	readonly own: CallHandler;
	/** Routes a call for which another data centre found no endpoint. */
	readonly spill: CallHandler;
	sync(message: MessageOf<'sync'>): Message;
	keyDone(message: MessageOf<'key-done'>): void;
	keyQuery(message: MessageOf<'key-ask'>): Message;
	count(message: MessageOf<'count'>): Promise<Message>;
	inherit(message: MessageOf<'inherit'>): Message;
	rollUp(message: MessageOf<'roll-up'>): Message;
	drain(message: MessageOf<'drain'>): Message;
};
