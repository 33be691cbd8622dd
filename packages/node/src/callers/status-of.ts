import {type FaultKind, faultKinds} from '@medlarsaddle/core';

const statuses: Partial<Record<FaultKind, number>> = {
	[faultKinds.badInput]: 400,
	[faultKinds.keyInvalid]: 400,
	[faultKinds.unknownService]: 404,
	[faultKinds.notFound]: 404,
	[faultKinds.keyUnknown]: 409,
	[faultKinds.conflict]: 409,
	[faultKinds.tooLarge]: 413,
	[faultKinds.quarantined]: 422,
	[faultKinds.upstreamFailed]: 502,
	[faultKinds.truncatedAnswer]: 502,
	[faultKinds.deadlineExceeded]: 504,
};

const serviceUnavailable = 503;

/**
 * HTTP status of a refusal.
 *
 * @example
 * reply.code(statusOf(refusal.fault));
 */
export const statusOf = (kind: FaultKind): number => statuses[kind] ?? serviceUnavailable;
