import type {memberStates} from './member-states.js';
import type {OfferedService} from './offered-service.js';

/**
 * The record of a node, as other nodes hold it. Its incarnation is the time its process started; its
 * version increases with each change that the node makes to its own record.
 *
 * @example
 * const draining: Member = {...member, version: member.version + 1, offers: []};
 */
export type Member = {
	readonly id: string;
	readonly dataCentre: string;
	/** Members of one group, a data centre or a region, keep a full table of one another. */
	readonly group: string;
	readonly host: string;
	readonly peerPort: number;
	readonly httpPort: number;
	readonly incarnation: number;
	readonly version: number;
	readonly state: (typeof memberStates)[keyof typeof memberStates];
	readonly offers: readonly OfferedService[];
	/** Whether the platform's store does not answer this member. */
	readonly hasLostStore?: boolean;
	/** Processes that issued idempotency keys and handed them over to this member. */
	readonly inherits?: readonly string[];
};
