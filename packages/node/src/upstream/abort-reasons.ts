/**
 * Why a call was given up at its upstream before there was an answer.
 *
 * @example
 * log(events.callFailed, {reason: abortReasons.deadline});
 */
export const abortReasons = {
	callerLeft: 'caller-left',
	deadline: 'deadline',
	silence: 'silence',
} as const;
