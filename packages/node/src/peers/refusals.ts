import {type Fault} from '@medlarsaddle/core';
import {type CallOutcome, type Refusal, type runStates} from '@medlarsaddle/wire';

type Run = (typeof runStates)[keyof typeof runStates];

/**
 * Makes the outcome of a call that got no answer from any upstream.
 *
 * @example
 * return refusalOf(unreachable, runStates.notRun, request.allowance);
 */
export const refusalOf = (
	fault: Fault,
	run: Run,
	unspent: number,
	more: Pick<Refusal, 'retryAfterMs' | 'final' | 'by'> = {},
): CallOutcome => ({
	result: {
		kind: 'refusal',
		fault: fault.kind,
		what: fault.what,
		remedy: fault.remedy,
		run,
		...more,
	},
	cutoffs: [],
	load: 0,
	unspent,
});
