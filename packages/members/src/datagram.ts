import type {datagramTypes} from './datagram-types.js';
import type {ReaderHeartbeat} from './reader-heartbeat.js';
import type {Rumor} from './rumor.js';

/**
 * A datagram between nodes. Each carries rumors and digests of the state of its sender.
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
	/** Member to probe on the sender's behalf, in a ping request. */
	readonly target?: string;
	/**
	 * Set in an acknowledgement when the sender of the ping is not in the member table, and in a ping
	 * when its sender does not know which member it pings. Either requests the record of the other
	 * member.
	 */
	readonly isStranger?: boolean;
	/** Set in a heartbeat of a reader of the platform's store. */
	readonly reader?: ReaderHeartbeat;
};
