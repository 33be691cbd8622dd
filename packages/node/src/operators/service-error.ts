import {type ServiceError, Metadata, status} from '@grpc/grpc-js';
import {type Fault, type FaultKind, faultKinds} from '@medlarsaddle/core';

const codes: Partial<Record<FaultKind, status>> = {
	[faultKinds.badInput]: status.INVALID_ARGUMENT,
	[faultKinds.badPolicy]: status.INVALID_ARGUMENT,
	[faultKinds.tooLarge]: status.INVALID_ARGUMENT,
	[faultKinds.conflict]: status.ABORTED,
	[faultKinds.notFound]: status.NOT_FOUND,
	[faultKinds.storeUnavailable]: status.UNAVAILABLE,
	[faultKinds.unreachable]: status.UNAVAILABLE,
};

/**
 * Turns a fault into the error of an operators' call. Its message names the remedy.
 *
 * @example
 * callback(serviceError(fault));
 */
export const serviceError = (fault: Fault): ServiceError => {
	const metadata = new Metadata();
	metadata.set('medlar-fault', fault.kind);
	return Object.assign(new Error(fault.message), {
		code: codes[fault.kind] ?? status.INTERNAL,
		details: fault.message,
		metadata,
	});
};
