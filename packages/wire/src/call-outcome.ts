import type {Answer} from './answer.js';
import type {Refusal} from './refusal.js';

/**
 * How a call ended, with what the hops above learn from it.
 *
 * @example
 * if (outcome.result.kind === 'answer') {
 * 	allowance.giveBack(outcome.unspent);
 * }
 */
export type CallOutcome = {
	readonly result: Answer | Refusal;
	/** Strictest cutoffs along the chain below, one for each rank. */
	readonly cutoffs: readonly number[];
	/** The service whose cutoffs are the strictest, and which service it waits for. */
	readonly pressedBy?: string;
	/** Calls in flight and waiting for each unit of the limit of the node that ran it. */
	readonly load: number;
	/** Retries given along with the call that were not spent. */
	readonly unspent: number;
	/** The service along the chain that took the most time, its queue included. */
	readonly slowest?: {readonly service: string; readonly ms: number};
	/** Why a call further down got no answer, when one was refused. */
	readonly refusedBelow?: string;
};
