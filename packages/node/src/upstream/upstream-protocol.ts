import type {Answer, CallRequest} from '@medlarsaddle/wire';
import type {UpstreamReply} from './upstream-reply.js';

type Sent = {
	readonly request: CallRequest;
	/** Instance of the upstream that is meant to run it. */
	readonly instance: string;
	/** Token by which calls of the upstream are tied to this one. */
	readonly context: string;
};

/**
 * How calls to the upstream are written and its answers are read. The node decides, this only
 * translates.
 *
 * @example
 * const headers = protocol.headersFor({request, instance, context});
 */
export type UpstreamProtocol = {
	/** Headers of the call, names and values in turn. */
	headersFor(sent: Sent): string[];
	/** What an answer that came on the call's connection means for it. */
	read(answer: Answer, request: CallRequest): UpstreamReply;
};
