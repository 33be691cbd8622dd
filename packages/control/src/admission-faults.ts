import {Fault, faultKinds} from '@medlarsaddle/core';

/** Why an admission refuses a call. A refused call has never been sent to the upstream. */
export const admissionFaults = {
	expired: Fault.of(
		faultKinds.deadlineExceeded,
		'The deadline passed before the call could start',
		'Send it with a later deadline',
	),
	overloaded: Fault.of(
		faultKinds.overloaded,
		'The service takes no more calls of this rank now',
		'Send it again after the time that the answer names',
	),
	cancelled: Fault.of(
		faultKinds.cancelled,
		'The caller gave up while the call waited',
		'Nothing is left to do',
	),
} as const;
