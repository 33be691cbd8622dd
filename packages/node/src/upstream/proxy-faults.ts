import {Fault, faultKinds} from '@medlarsaddle/core';

/** Faults of calls that the upstream proxy refuses or cannot finish. */
export const proxyFaults = {
	serviceNotServed: Fault.of(
		faultKinds.noEndpoint,
		'This host does not serve the service any more',
		'Send the call again; it will go to another host',
	),
	draining: Fault.of(
		faultKinds.draining,
		'This host is leaving and takes no new work',
		'Send the call again; it will go to another host',
	),
	expired: Fault.of(
		faultKinds.deadlineExceeded,
		'The deadline of the call passed before it could be sent to the upstream',
		'Send the call again with a later deadline',
	),
	quarantined: Fault.of(
		faultKinds.quarantined,
		'Requests with this content are held back because they crashed upstreams',
		'Report it to the operators; `medlarsaddle status` lists it with its end',
	),
	rejected: Fault.of(
		faultKinds.upstreamRefused,
		'The upstream rejected the call before it ran it',
		'Send the call again; it will go to another host',
	),
	mismatchedAnswer: Fault.of(
		faultKinds.upstreamFailed,
		'The upstream sent an answer that belongs to another call',
		'Look up whether the action took effect before sending it again',
	),
	suspectBusy: Fault.of(
		faultKinds.overloaded,
		'A request with this content may have crashed an upstream, and another such request runs here',
		'Send it again in a second',
	),
} as const;
