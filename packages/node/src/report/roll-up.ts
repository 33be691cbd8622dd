import {type Clock, type Random, rendezvous} from '@medlarsaddle/core';
import type {Gossip, Member} from '@medlarsaddle/members';
import {OutcomeHistory, type Tally} from '@medlarsaddle/report';
import type {Task} from '@medlarsaddle/supervise';
import {codec, messageTypes} from '@medlarsaddle/wire';
import type {Peers} from '../peers/peers.js';
import type {Collector} from './collector.js';
import {shards} from './shards.js';

type Opts = {
	readonly clock: Clock;
	readonly random: Random;
	readonly gossip: Gossip;
	readonly peers: Peers;
	readonly tally: Tally;
	readonly collector: Collector;
	/** Name of this process, different after each start of the node. */
	readonly issuer: string;
	readonly periodMs: number;
	/** Called with the size of each batch that is sent, in bytes. */
	readonly onBytes: (count: number) => void;
};

type UnsentBatch = {
	readonly sequence: number;
	readonly history: OutcomeHistory;
};

const maxUnsent = 40;
const jitterRatio = 0.2;

/**
 * Sends the counts of this node to the members that collect for its data centre, and writes what
 * this node collects itself. Each shard of the services has one collector, which every member
 * computes from its own table; two collectors at once do no harm, since the platform adds up what
 * both write.
 *
 * @example
 * const rollUp = RollUp.create(opts);
 * supervisor.start({name: 'roll-up', task: rollUp.run, restart: restartPolicies.always});
 */
export class RollUp {
	/** Creates the roll-up of a node that has counted nothing. */
	static create(opts: Opts): RollUp {
		return new RollUp(opts);
	}

	/** Counts of this node alone, for reports while the platform does not answer. */
	private ownHistory = OutcomeHistory.empty;
	private readonly unsent = new Map<number, UnsentBatch[]>();
	private sequence = 0;

	private constructor(private readonly opts: Opts) {}

	/** Counts of this node alone over the last three days, up to now. */
	get own(): OutcomeHistory {
		this.queueCounts();
		return this.ownHistory;
	}

	/** Task that rolls up once in each period. */
	readonly run: Task = async (signal, ready) => {
		const {clock, random, periodMs} = this.opts;
		ready();
		while (!signal.aborted) {
			await clock.sleep(periodMs * (1 - jitterRatio / 2 + jitterRatio * random.next()), signal);
			await this.send(shard => this.collectorOf(shard));
			await this.write(signal);
		}
	};

	/** Rolls up for the last time; counts that cannot be written are sent to another collector. */
	async finish(signal: AbortSignal): Promise<void> {
		const {collector, gossip} = this.opts;
		const isOther = ({id}: Member) => id !== gossip.self.id;
		await this.send(shard => this.collectorOf(shard));
		for (const shard of shards.all) {
			if (collector.hasUnwritten(shard) && !(await collector.flush(shard, signal))) {
				this.queueBatch(shard, collector.release(shard));
			}
		}

		await this.send(shard => this.collectorOf(shard, isOther));
	}

	/** Sends every batch that was not accepted yet, oldest first. */
	private async send(collectorOf: (shard: number) => Member | undefined): Promise<void> {
		this.queueCounts();
		await Promise.all(
			[...this.unsent].map(async ([shard, batches]) => {
				const collectorMember = collectorOf(shard);
				if (collectorMember) {
					await this.sendAll(collectorMember, shard, batches);
				}
			}),
		);
	}

	private async sendAll(
		collectorMember: Member,
		shard: number,
		batches: UnsentBatch[],
	): Promise<void> {
		while (batches.length > 0 && (await this.sendBatch(collectorMember, shard, batches[0]!))) {
			batches.shift();
		}
	}

	private async sendBatch(
		collectorMember: Member,
		shard: number,
		{sequence, history}: UnsentBatch,
	): Promise<boolean> {
		const {gossip, peers, collector, issuer, onBytes} = this.opts;
		if (collectorMember.id === gossip.self.id) {
			collector.add({from: issuer, sequence, shard, history});
			return true;
		}

		const {rows} = history;
		const reply = await peers.request(collectorMember, id => {
			const message = {type: messageTypes.rollUp, id, from: issuer, sequence, shard, rows};
			onBytes(codec.encode(message).length);
			return message;
		});
		return reply?.type === messageTypes.rolledUp;
	}

	private async write(signal: AbortSignal): Promise<void> {
		const {collector, gossip} = this.opts;
		for (const shard of shards.all) {
			const isCollector = this.collectorOf(shard)?.id === gossip.self.id;
			// The first shard is written even when nothing was counted, so that the report can show how
			// long ago the data centre last wrote.
			if (collector.hasUnwritten(shard) || (isCollector && shard === shards.all[0])) {
				await collector.flush(shard, signal);
			}

			if (isCollector && shard === shards.all[0]) {
				await collector.registerDataCentre(signal);
			}
		}
	}

	/** Takes what was counted since the last call and queues it, divided by shard. */
	private queueCounts(): void {
		const {tally, clock} = this.opts;
		const counted = tally.flush(clock.now());
		this.ownHistory = this.ownHistory.merge(counted).trim(clock.now());
		for (const shard of shards.all) {
			this.queueBatch(
				shard,
				counted.filter(service => shards.of(service) === shard),
			);
		}
	}

	private queueBatch(shard: number, history: OutcomeHistory): void {
		if (history.isEmpty) {
			return;
		}

		const batches = this.unsent.get(shard) ?? [];
		this.unsent.set(shard, batches);
		batches.push({sequence: ++this.sequence, history});
		if (batches.length > maxUnsent) {
			batches.shift();
		}
	}

	private collectorOf(
		shard: number,
		isEligible: (member: Member) => boolean = () => true,
	): Member | undefined {
		const {table} = this.opts.gossip;
		const ids = table.alive.filter(member => isEligible(member)).map(({id}) => id);
		const [id] = rendezvous(`report ${shard}`, ids, 1);
		return id === undefined ? undefined : table.get(id);
	}
}
