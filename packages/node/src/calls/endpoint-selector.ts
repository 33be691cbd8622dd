import type {Endpoint} from '@medlarsaddle/control';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';

/**
 * Chooses the endpoint of each call, from what it has recorded about earlier calls.
 *
 * @example
 * const endpoint = selector.choose(request, new Set());
 */
export type EndpointSelector = {
	/** Chooses an endpoint that was not yet tried for this call; undefined when there is none. */
	choose(request: CallRequest, tried: ReadonlySet<string>): Endpoint | undefined;
	/** Records that a call was sent to a node. */
	noteSent(node: string): void;
	/** Records how a call to a node ended, `elapsedMs` after it was sent. */
	noteEnded(node: string, request: CallRequest, outcome: CallOutcome, elapsedMs: number): void;
	/** Whether a node is currently ejected because of its failures. */
	isEjected(node: string): boolean;
	/** Discards the records of nodes that are not listed. */
	retainOnly(nodes: ReadonlySet<string>): void;
};
