import {faultKinds} from '@medlarsaddle/core';
import {outcomeClasses} from '@medlarsaddle/report';
import {runStates} from '@medlarsaddle/wire';
import type {CompletedCall} from '../calls/completed-call.js';

const serverErrors = 500;

/**
 * Decides how a request counts. Faults that the caller made itself do not count at all.
 *
 * @example
 * const outcomeClass = classify(originated, 500);
 */
export const classify = (
	{result, elapsedMs}: CompletedCall,
	withinMs: number,
): (typeof outcomeClasses)[keyof typeof outcomeClasses] | undefined => {
	if (result.kind === 'answer') {
		if (result.status >= serverErrors) {
			return outcomeClasses.failed;
		}

		return elapsedMs <= withinMs ? outcomeClasses.good : outcomeClasses.late;
	}

	const isCallers =
		result.fault === faultKinds.badInput ||
		result.fault === faultKinds.keyInvalid ||
		result.fault === faultKinds.cancelled;
	if (isCallers) {
		return undefined;
	}

	if (result.run === runStates.unknown) {
		return outcomeClasses.unknown;
	}

	return result.fault === faultKinds.upstreamFailed
		? outcomeClasses.failed
		: outcomeClasses.refused;
};
