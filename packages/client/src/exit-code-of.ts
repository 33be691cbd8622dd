import {type FaultKind, faultKinds} from '@medlarsaddle/core';
import {exitCodes} from './exit-codes.js';

const codesByFault: Partial<Record<FaultKind, number>> = {
	[faultKinds.badInput]: exitCodes.rejected,
	[faultKinds.badPolicy]: exitCodes.rejected,
	[faultKinds.notFound]: exitCodes.rejected,
	[faultKinds.tooLarge]: exitCodes.rejected,
	[faultKinds.conflict]: exitCodes.conflict,
	[faultKinds.storeUnavailable]: exitCodes.unavailable,
	[faultKinds.unreachable]: exitCodes.unavailable,
};

/**
 * Returns the exit code for a kind of fault.
 *
 * @example
 * return exitCodeOf(fault.kind);
 */
export const exitCodeOf = (kind: FaultKind): number => codesByFault[kind] ?? exitCodes.failed;
