import {Fault, faultKinds} from '@medlarsaddle/core';

/** Reasons why the outcome of a keyed request is unknown. */
export const keyFaults = {
	outcomeLost: Fault.of(
		faultKinds.keyUnknown,
		'The request was started under this key and its outcome is lost',
		'Look up whether the action took effect; if it did not, send it with a new key',
	),
	issuerUnavailable: Fault.of(
		faultKinds.keyUnknown,
		'The node that issued this key is gone or cannot be reached, and no copy of an answer is left',
		'Look up whether the action took effect; if it did not, send it with a new key',
	),
	dataCentreUnreachable: Fault.of(
		faultKinds.keyUnknown,
		'The data centre that issued this key cannot be reached',
		'Send it again once the data centre is back, or look up whether the action took effect',
	),
} as const;
