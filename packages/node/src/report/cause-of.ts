import type {CompletedCall} from '../calls/completed-call.js';

const minServerErrorStatus = 500;

/**
 * Cause of a request that was not good, with the service responsible. There are few different
 * texts, so that causes can be counted by text.
 *
 * @example
 * causeOf(completed); // 'overloaded at reservation, waiting for pitch-map'
 */
export const causeOf = ({result, outcome}: CompletedCall): string => {
	if (result.kind === 'refusal') {
		return result.by === undefined ? result.fault : `${result.fault} at ${result.by}`;
	}

	if (result.status >= minServerErrorStatus) {
		const {refusedBelow} = outcome;
		return `status ${result.status}${refusedBelow === undefined ? '' : ` after ${refusedBelow}`}`;
	}

	return outcome.slowest ? `late, mostly at ${outcome.slowest.service}` : 'late';
};
