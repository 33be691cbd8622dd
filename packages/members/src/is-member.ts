import type {Member} from './member.js';
import {memberStates} from './member-states.js';

const maxPort = 65_535;
const states = new Set<unknown>(Object.values(memberStates));

/**
 * Whether a received value is the record of a member. A record that lacks a field would be kept and
 * spread, and fail every call that looks for an endpoint later.
 *
 * @example
 * const members = received.filter(value => isMember(value));
 */
export const isMember = (value: unknown): value is Member => {
	const member = value as Partial<Member> | null | undefined;
	return (
		typeof member === 'object' &&
		member !== null &&
		[member.id, member.dataCentre, member.group, member.host].every(
			text => typeof text === 'string' && text !== '',
		) &&
		[member.peerPort, member.httpPort].every(port => isCount(port) && port <= maxPort) &&
		[member.incarnation, member.version].every(number => isCount(number)) &&
		states.has(member.state) &&
		Array.isArray(member.offers) &&
		member.offers.every(offer => isOffer(offer)) &&
		(member.inherits === undefined ||
			(Array.isArray(member.inherits) && member.inherits.every(id => typeof id === 'string')))
	);
};

const isOffer = (value: unknown): boolean => {
	const offer = value as Partial<Member['offers'][number]> | null | undefined;
	return (
		typeof offer?.service === 'string' &&
		Number.isFinite(offer.slots) &&
		typeof offer.draining === 'boolean'
	);
};

const isCount = (value: unknown): value is number =>
	Number.isSafeInteger(value) && (value as number) >= 0;
