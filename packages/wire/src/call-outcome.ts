import type {Answer} from './answer.js';
import type {Refusal} from './refusal.js';
import type {UpstreamState} from './upstream-state.js';

/**
 * How a call ended, with feedback for the hops above it in the chain.
 *
 * @example
 * if (outcome.result.kind === 'answer') {
 * 	allowance.refund(outcome.unspent);
 * }
 */
export type CallOutcome = {
	readonly result: Answer | Refusal;
	/** Strictest admission cutoffs along the chain below, one for each rank. */
	readonly cutoffs: readonly number[];
	/** The service with the strictest cutoffs and, if any, the service that it waits for. */
	readonly pressedBy?: string;
	/**
	 * Calls in flight and waiting, divided by the concurrency limit, at the node that ran the call.
	 */
	readonly load: number;
	/** Retries of the allowance sent with the call that were not used. */
	readonly unspent: number;
	/** The service along the chain that took the most time, including time in its queue. */
	readonly slowest?: {readonly service: string; readonly ms: number};
	/** Load of the upstream that ran or refused the call, used to choose endpoints. */
	readonly state?: UpstreamState;
	/** Slot time that one request of this job takes at each service, in milliseconds. */
	readonly footprint?: ReadonlyArray<readonly [service: string, workMs: number]>;
	/**
	 * Share of the demand that each service can serve, with the age of the figure in milliseconds.
	 */
	readonly shares?: ReadonlyArray<readonly [service: string, share: number, ageMs: number]>;
	/** Whether this job is called by other services only; undefined while unknown. */
	readonly isCall?: boolean;
	/** Why a call further down the chain was refused, if one was. */
	readonly refusedBelow?: string;
};
