import {type ServiceError, Metadata, status} from '@grpc/grpc-js';
import {type Fault, type FaultKind, faultKinds} from '@medlarsaddle/core';

const statusCodes: Partial<Record<FaultKind, status>> = {
	[faultKinds.badInput]: status.INVALID_ARGUMENT,
	[faultKinds.badPolicy]: status.INVALID_ARGUMENT,
	[faultKinds.tooLarge]: status.INVALID_ARGUMENT,
	[faultKinds.conflict]: status.ABORTED,
	[faultKinds.notFound]: status.NOT_FOUND,
	[faultKinds.storeUnavailable]: status.UNAVAILABLE,
	[faultKinds.unreachable]: status.UNAVAILABLE,
};

/**
 * Converts a fault to a gRPC error, whose message includes the remedy.
 *
 * @example
 * callback(serviceError(fault));
 */
export const serviceError = (fault: Fault): ServiceError => {
	const metadata = new Metadata();
	metadata.set('medlar-fault', fault.kind);
	return Object.assign(new Error(fault.message), {
		code: statusCodes[fault.kind] ?? status.INTERNAL,
		details: fault.message,
		metadata,
	});
};
