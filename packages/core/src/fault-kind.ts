import type {faultKinds} from './fault-kinds.js';

/**
 * One of the values of {@link faultKinds}.
 *
 * @example
 * const kind: FaultKind = faultKinds.conflict;
 */
export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds];
