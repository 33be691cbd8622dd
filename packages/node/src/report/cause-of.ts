import type {CompletedCall} from '../calls/completed-call.js';

const serverErrors = 500;

/**
 * Why a request was not good, in few different texts, and which service is to blame.
 *
 * @example
 * causeOf(originated); // 'overloaded at reservation, waiting for pitch-map'
 */
export const causeOf = ({result, outcome}: CompletedCall): string => {
	if (result.kind === 'refusal') {
		return result.by === undefined ? result.fault : `${result.fault} at ${result.by}`;
	}

	if (result.status >= serverErrors) {
		const {refusedBelow} = outcome;
		return `status ${result.status}${refusedBelow === undefined ? '' : ` after ${refusedBelow}`}`;
	}

	return outcome.slowest ? `late, mostly at ${outcome.slowest.service}` : 'late';
};
