import type {Clock} from '@medlarsaddle/core';
import {Acks} from './acks.js';
import type {Address} from './address.js';
import type {Datagram} from './datagram.js';
import {datagramTypes} from './datagram-types.js';
import {gossipTiming} from './gossip-timing.js';
import type {Knowledge} from './knowledge.js';
import type {Rumor} from './rumor.js';
import {rumorKinds} from './rumor-kinds.js';

type Opts = {
	readonly clock: Clock;
	readonly knowledge: Knowledge;
	/** Sends one datagram; losses are expected. */
	readonly send: (to: Address, datagram: Datagram) => void;
	readonly sectionsDigest: () => number;
};

const rumorBytes = 1000;

/**
 * Writes datagrams: each with a number of its own, this node's digests and the news it is given.
 *
 * @example
 * const isUp = await outbox.ping(address, outbox.news());
 */
export class Outbox {
	/** Creates an outbox that has sent nothing. */
	static create(opts: Opts): Outbox {
		return new Outbox(opts);
	}

	/** Acknowledgements that this node waits for. */
	readonly acks: Acks;
	private seq = 0;

	private constructor(private readonly opts: Opts) {
		this.acks = Acks.create(opts.clock);
	}

	/** Takes a number for a datagram that will be acknowledged. */
	nextSeq(): number {
		return this.seq++;
	}

	/** Sends one datagram. */
	send(
		to: Address,
		type: Datagram['type'],
		rumors: readonly Rumor[],
		more: Partial<Pick<Datagram, 'isStranger' | 'seq' | 'target'>> = {},
	): void {
		const {knowledge, send, sectionsDigest} = this.opts;
		send(to, {
			type,
			seq: more.seq ?? this.nextSeq(),
			from: knowledge.self.id,
			group: knowledge.self.group,
			digests: [knowledge.table.digest, sectionsDigest()],
			rumors,
			...more,
		});
	}

	/** Sends a ping and waits for its acknowledgement. */
	async ping(to: Address, rumors: readonly Rumor[]): Promise<boolean> {
		const seq = this.nextSeq();
		const acked = this.acks.within(seq, gossipTiming.ackTimeoutMs);
		this.send(to, datagramTypes.ping, rumors, {seq});
		return acked;
	}

	/** News that is still to be sent, as much as fits a datagram. */
	news(): Rumor[] {
		const {queue, table} = this.opts.knowledge;
		return queue.take(rumorBytes, table.alive.length);
	}

	/** News for other data centres; members are known at home only. */
	foreignNews(): Rumor[] {
		return this.news().filter(({kind}) => kind !== rumorKinds.member);
	}

	/** This node's own record as a rumor. */
	ownRumor(): Rumor {
		return {kind: rumorKinds.member, member: this.opts.knowledge.self};
	}
}
