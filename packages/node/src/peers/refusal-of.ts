import {type Fault} from '@medlarsaddle/core';
import {type CallOutcome, type Refusal, type runStates} from '@medlarsaddle/wire';

type Run = (typeof runStates)[keyof typeof runStates];

/**
 * Builds the outcome of a call that no upstream answered.
 *
 * @example
 * return refusalOf(unreachable, runStates.notRun, request.allowance);
 */
export const refusalOf = (
	fault: Fault,
	run: Run,
	unspent: number,
	details: Pick<Refusal, 'retryAfterMs' | 'final' | 'by'> = {},
): CallOutcome => ({
	result: {
		kind: 'refusal',
		fault: fault.kind,
		what: fault.what,
		remedy: fault.remedy,
		run,
		...details,
	},
	cutoffs: [],
	load: 0,
	unspent,
});
