import type {Answer, CallRequest} from '@medlarsaddle/wire';
import type {UpstreamReply} from './upstream-reply.js';

type Sent = {
	readonly request: CallRequest;
	/** Instance of the upstream that should run the call. */
	readonly instance: string;
	/** Token that links downstream calls of the upstream to this call. */
	readonly context: string;
};

/**
 * Encodes calls to the upstream and decodes its answers. All decisions are left to the node.
 *
 * @example
 * const headers = protocol.headersFor({request, instance, context});
 */
export type UpstreamProtocol = {
	/** Headers of the call, as alternating names and values. */
	headersFor(sent: Sent): string[];
	/** Interprets an answer that was received on the connection of a call. */
	read(answer: Answer, request: CallRequest): UpstreamReply;
};
