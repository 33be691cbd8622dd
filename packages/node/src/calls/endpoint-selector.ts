import type {Endpoint} from '@medlarsaddle/control';
import type {CallOutcome, CallRequest} from '@medlarsaddle/wire';

/**
 * How the endpoint of a call is chosen, and what is remembered of endpoints for that.
 *
 * @example
 * const endpoint = selector.choose(request, new Set());
 */
export type EndpointSelector = {
	/** Chooses an endpoint that was not tried for this call; undefined when there is none. */
	choose(request: CallRequest, tried: ReadonlySet<string>): Endpoint | undefined;
	/** Notes that a call was sent to a node. */
	began(node: string): void;
	/** Notes how a call ended there, `elapsedMs` after it was sent. */
	ended(node: string, request: CallRequest, outcome: CallOutcome, elapsedMs: number): void;
	/** Whether a node is left out now because of its failures. */
	isEjected(node: string): boolean;
	/** Forgets nodes that are not listed. */
	keepOnly(nodes: ReadonlySet<string>): void;
};
