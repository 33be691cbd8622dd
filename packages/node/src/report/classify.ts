import {faultKinds} from '@medlarsaddle/core';
import {outcomeClasses} from '@medlarsaddle/report';
import {runStates} from '@medlarsaddle/wire';
import type {CompletedCall} from '../calls/completed-call.js';

const minServerErrorStatus = 500;

/**
 * Class that a request is counted under; undefined for a fault of the caller, which is not counted.
 *
 * @example
 * const outcomeClass = classify(completed, 500);
 */
export const classify = (
	{result, elapsedMs}: CompletedCall,
	withinMs: number,
): (typeof outcomeClasses)[keyof typeof outcomeClasses] | undefined => {
	if (result.kind === 'answer') {
		if (result.status >= minServerErrorStatus) {
			return outcomeClasses.failed;
		}

		return elapsedMs <= withinMs ? outcomeClasses.good : outcomeClasses.late;
	}

	const isCallerFault =
		result.fault === faultKinds.badInput ||
		result.fault === faultKinds.keyInvalid ||
		result.fault === faultKinds.cancelled;
	if (isCallerFault) {
		return undefined;
	}

	if (result.run === runStates.unknown) {
		return outcomeClasses.unknown;
	}

	return result.fault === faultKinds.upstreamFailed
		? outcomeClasses.failed
		: outcomeClasses.refused;
};
