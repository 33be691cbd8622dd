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
	notSent: Fault.of(
		faultKinds.deadlineExceeded,
		'The deadline of the call passed before it could be sent',
		'Send the call again with a later deadline',
	),
	notWanted: Fault.of(
		faultKinds.cancelled,
		'The call was given up before it could be sent',
		'Send it again if the answer is still wanted',
	),
	deadlineExceeded: Fault.of(
		faultKinds.deadlineExceeded,
		'The answer did not come before the deadline',
		'Look up whether the action took effect before sending it again',
	),
} as const;
