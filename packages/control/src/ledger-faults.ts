import {Fault, faultKinds} from '@medlarsaddle/core';

/** Why a ledger neither starts a key nor returns its state. */
export const ledgerFaults = {
	notIssuer: Fault.of(
		faultKinds.keyUnknown,
		'The process that issued this key is gone, so it is not known whether its request ran',
		'Look up whether the action took effect; if it did not, send it with a new key',
	),
	requestMismatch: Fault.of(
		faultKinds.keyInvalid,
		'This key was used for another request',
		'Use one key for each action and the same body on each resend',
	),
	full: Fault.of(
		faultKinds.overloaded,
		'This node remembers as many keys as it can',
		'Send the request again later, or with a key from another node',
	),
} as const;
