import {faultKinds} from '@medlarsaddle/core';
import type {CallOutcome} from '@medlarsaddle/wire';

const serverErrors = 500;

/**
 * Whether an endpoint did well, did badly, or showed neither.
 *
 * @example
 * verdictOf(outcome) === false; // it failed
 */
export const verdictOf = ({result}: CallOutcome): boolean | undefined => {
	if (result.kind === 'answer') {
		return result.status < serverErrors;
	}

	const isFailure =
		result.fault === faultKinds.unreachable ||
		result.fault === faultKinds.upstreamFailed ||
		result.fault === faultKinds.deadlineExceeded;
	return isFailure ? false : undefined;
};
