import type {FaultKind} from '@medlarsaddle/core';
import type {runStates} from './run-states.js';

/**
 * Why a call was not answered by its upstream, and whether it may have run.
 *
 * @example
 * if (refusal.run === runStates.notRun) {
 * 	tryAnotherEndpoint();
 * }
 */
export type Refusal = {
	readonly kind: 'refusal';
	readonly fault: FaultKind;
	readonly what: string;
	readonly remedy: string;
	readonly run: (typeof runStates)[keyof typeof runStates];
	readonly retryAfterMs?: number;
	/** Set when a retry could repeat an action that is not idempotent. */
	readonly final?: boolean;
	/** The service that refused and, if any, the service that it waits for, as named in reports. */
	readonly by?: string;
	/** Concurrency limit of the node that refused the call. */
	readonly limit?: number;
};
