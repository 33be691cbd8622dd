import type {Answer} from './answer.js';
import type {Refusal} from './refusal.js';
import type {UpstreamState} from './upstream-state.js';

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
	/** How the upstream that ran or refused the call stands, for the choice of endpoints. */
	readonly state?: UpstreamState;
	/** Work of one request of this job at each service, in milliseconds of places. */
	readonly footprint?: ReadonlyArray<readonly [service: string, workMs: number]>;
	/** Share of the work wanted that services can take, each with its age in milliseconds. */
	readonly shares?: ReadonlyArray<readonly [service: string, share: number, ageMs: number]>;
	/** Whether services alone call this job; undefined while that is not known. */
	readonly isCall?: boolean;
	/** Why a call further down got no answer, when one was refused. */
	readonly refusedBelow?: string;
};
