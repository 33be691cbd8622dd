import type {Member} from './member.js';
import type {rumorKinds as kinds} from './rumor-kinds.js';

/**
 * An update that spreads by gossip, small enough for a datagram.
 *
 * @example
 * gossip.spread({kind: 'section', name: 'base', version: 7});
 */
export type Rumor =
	| {readonly kind: typeof kinds.member; readonly member: Member}
	| {readonly kind: typeof kinds.section; readonly name: string; readonly version: number}
	| {readonly kind: typeof kinds.suspect; readonly id: string; readonly body: unknown}
	| {readonly kind: typeof kinds.contact; readonly member: Member};
