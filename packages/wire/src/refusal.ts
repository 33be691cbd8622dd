import type {FaultKind} from '@medlarsaddle/core';
import type {runStates} from './run-states.js';

/**
 * Why a call got no answer, and whether it may have run.
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
	/** Set when a retry would repeat an action that cannot be repeated. */
	readonly final?: boolean;
	/** The service that refused, and which service it waits for, as reports name it. */
	readonly by?: string;
	/** Concurrency limit of the node that refused. */
	readonly limit?: number;
};
