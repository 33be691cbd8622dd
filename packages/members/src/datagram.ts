import type {datagramTypes} from './datagram-types.js';
import type {Rumor} from './rumor.js';

/**
 * One datagram between nodes. Each carries news and digests of what its sender holds.
 *
 * @example
 * send(address, {type: datagramTypes.ping, seq, from, group, digests, rumors});
 */
export type Datagram = {
	readonly type: (typeof datagramTypes)[keyof typeof datagramTypes];
	readonly seq: number;
	readonly from: string;
	/** The sender's group. */
	readonly group: string;
	/** Digest of the member table, then of the policy sections. */
	readonly digests: readonly [number, number];
	readonly rumors: readonly Rumor[];
	/** Member to probe on the sender's behalf, for a ping request. */
	readonly target?: string;
	/**
	 * Set in an acknowledgement when the sender of the ping is not in the table, and in a ping when its
	 * sender does not know whom it pings. Either asks for the other's own record.
	 */
	readonly isStranger?: boolean;
};
