import type {Member} from './member.js';
import {memberStates} from './member-states.js';

const statePrecedence = Object.values(memberStates);

/**
 * Whether record `a` of a member overrides record `b` of it: by a later incarnation, then by a
 * later version, then by a state that comes later in `memberStates`.
 *
 * @example
 * if (!known || supersedes(received, known)) {
 * 	table.set(received.id, received);
 * }
 */
export const supersedes = (a: Member, b: Member): boolean => {
	if (a.incarnation !== b.incarnation) {
		return a.incarnation > b.incarnation;
	}

	if (a.version !== b.version) {
		return a.version > b.version;
	}

	return statePrecedence.indexOf(a.state) > statePrecedence.indexOf(b.state);
};
