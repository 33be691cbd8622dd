import type {memberStates} from './member-states.js';
import type {OfferedService} from './offered-service.js';

/**
 * One node as the others know it. Its incarnation is the time its process started; its version
 * rises with each change that the node makes to its own record.
 *
 * @example
 * const draining: Member = {...member, version: member.version + 1, offers: []};
 */
export type Member = {
	readonly id: string;
	readonly dataCentre: string;
	/** The members that keep a full table of one another: those of one data centre, or of a region. */
	readonly group: string;
	readonly host: string;
	readonly peerPort: number;
	readonly httpPort: number;
	readonly incarnation: number;
	readonly version: number;
	readonly state: (typeof memberStates)[keyof typeof memberStates];
	readonly offers: readonly OfferedService[];
	/** Issuing processes whose keys it has taken over. */
	readonly inherits?: readonly string[];
};
