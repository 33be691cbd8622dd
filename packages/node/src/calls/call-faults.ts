import {Fault, faultKinds} from '@medlarsaddle/core';

/** Faults of calls that end without an answer from an endpoint. */
export const callFaults = {
	noTimeLeft: Fault.of(
		faultKinds.deadlineExceeded,
		'The deadline of the request leaves no time',
		'Send it with a later deadline',
	),
	unknownService: Fault.of(
		faultKinds.unknownService,
		'No upstream serves this service and no policy names it',
		'Check the name of the service; `medlarsaddle upstreams` lists those that are served',
	),
	parentEnded: Fault.of(
		faultKinds.cancelled,
		'The request that this call belongs to has ended',
		'Stop working on it',
	),
	downstreamOverloaded: Fault.of(
		faultKinds.overloaded,
		'A service that this request needs takes no more work of its rank now',
		'Send it again after the time that the answer names',
	),
	nodeStopping: Fault.of(
		faultKinds.draining,
		'This node stops and may end before the answer to this request has come',
		'Send the request to another node',
	),
	noEndpoint: Fault.of(
		faultKinds.noEndpoint,
		'No upstream of this service takes work in this data centre now',
		'Send the request again later, or to another data centre',
	),
} as const;
