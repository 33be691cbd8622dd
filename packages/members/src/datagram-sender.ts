import type {Clock} from '@medlarsaddle/core';
import {PendingAcks} from './pending-acks.js';
import type {Address} from './address.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {gossipTiming} from './gossip-timing.js';
import type {Membership} from './membership.js';
import type {Rumor} from './rumor.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly clock: Clock;
	readonly membership: Membership;
	/** Sends a datagram; it may be lost. */
	readonly send: (to: Address, datagram: Datagram) => void;
	readonly sectionsDigest: () => number;
};

const maxRumorBytes = 1000;

/**
 * Sends datagrams, each with a sequence number, this node's digests and the given rumors.
 *
 * @example
 * const isUp = await datagramSender.ping(address, datagramSender.takeRumors());
 */
export class DatagramSender {
	/** Creates a sender whose sequence numbers start at 0. */
	static create(opts: Opts): DatagramSender {
		return new DatagramSender(opts);
	}

	/** Acknowledgements that this node is waiting for. */
	readonly acks: PendingAcks;
	private seq = 0;

	private constructor(private readonly opts: Opts) {
		this.acks = PendingAcks.create(opts.clock);
	}

	/** Allocates a sequence number. */
	nextSeq(): number {
		return this.seq++;
	}

	/** Sends a datagram, with a new sequence number unless `extraFields` has one. */
	send(
		to: Address,
		type: Datagram['type'],
		rumors: readonly Rumor[],
		extraFields: Partial<Pick<Datagram, 'isStranger' | 'reader' | 'seq' | 'target'>> = {},
	): void {
		const {membership, send, sectionsDigest} = this.opts;
		send(to, {
			type,
			seq: extraFields.seq ?? this.nextSeq(),
			from: membership.self.id,
			group: membership.self.group,
			digests: [membership.table.digest, sectionsDigest()],
			rumors,
			...extraFields,
		});
	}

	/** Sends a ping and resolves with whether it was acknowledged in time. */
	async ping(to: Address, rumors: readonly Rumor[]): Promise<boolean> {
		const seq = this.nextSeq();
		const acked = this.acks.waitFor(seq, gossipTiming.ackTimeoutMs);
		this.send(to, datagramTypes.ping, rumors, {seq});
		return acked;
	}

	/** Takes pending rumors from the queue, as many as fit into a datagram. */
	takeRumors(): Rumor[] {
		const {queue, table} = this.opts.membership;
		return queue.take(maxRumorBytes, table.alive.length);
	}

	/** Takes pending rumors for another group; rumors about members stay within their own group. */
	takeRumorsForOtherGroup(): Rumor[] {
		return this.takeRumors().filter(({kind}) => kind !== rumorKinds.member);
	}

	/** This node's own record as a rumor. */
	selfRumor(): Rumor {
		return {kind: rumorKinds.member, member: this.opts.membership.self};
	}
}
