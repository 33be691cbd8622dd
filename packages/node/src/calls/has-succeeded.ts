import {faultKinds} from '@medlarsaddle/core';
import type {CallOutcome} from '@medlarsaddle/wire';

const minServerErrorStatus = 500;

/**
 * Whether an endpoint handled a call successfully; undefined when the outcome shows neither success
 * nor failure of the endpoint.
 *
 * @example
 * hasSucceeded(outcome) === false; // the endpoint failed
 */
export const hasSucceeded = ({result}: CallOutcome): boolean | undefined => {
	if (result.kind === 'answer') {
		return result.status < minServerErrorStatus;
	}

	const isFailure =
		result.fault === faultKinds.unreachable ||
		result.fault === faultKinds.upstreamFailed ||
		result.fault === faultKinds.deadlineExceeded;
	return isFailure ? false : undefined;
};
