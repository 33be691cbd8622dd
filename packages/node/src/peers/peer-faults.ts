import {Fault, faultKinds} from '@medlarsaddle/core';

/** Faults of calls that were sent to another node and got no answer. */
export const peerFaults = {
	connectionLost: Fault.of(
		faultKinds.unreachable,
		'The connection ended before the answer came',
		'Look up whether the action took effect before sending it again',
	),
	givenUp: Fault.of(
		faultKinds.cancelled,
		'The call was given up before the answer came',
		'Send it again if the answer is still wanted',
	),
	deadlineExceeded: Fault.of(
		faultKinds.deadlineExceeded,
		'The answer did not come before the deadline',
		'Look up whether the action took effect before sending it again',
	),
} as const;
