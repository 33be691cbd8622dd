import {Fault, faultKinds} from '@medlarsaddle/core';

/** Faults of calls that were sent to another node and got no answer. */
export const peerFaults = {
	connectionLost: Fault.of(
		faultKinds.unreachable,
		'The connection ended before the answer came',
		'Look up whether the action took effect before sending it again',
	),
	deadlineExceeded: Fault.of(
		faultKinds.deadlineExceeded,
		'The answer did not come before the deadline',
		'Look up whether the action took effect before sending it again',
	),
} as const;
