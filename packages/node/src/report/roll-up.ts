import {type Clock, type Random, rendezvous} from '@medlarsaddle/core';
import type {Gossip, Member} from '@medlarsaddle/members';
import {History, type Tally} from '@medlarsaddle/report';
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
	/** Name of this process, different after each start. */
	readonly issuer: string;
	readonly periodMs: number;
	/** Called with the bytes of each batch that is sent. */
	readonly onBytes: (count: number) => void;
};

type Unsent = {
	readonly sequence: number;
	readonly history: History;
};

const maxUnsent = 40;
const jitterShare = 0.2;

/**
 * Sends what this node counted to the members that collect for its data centre, and writes what it
 * collects itself. Each share of the services has one collector, which every member works out from
 * its own table; two collectors at once do no harm, since the platform adds up what both write.
 *
 * @example
 * const rollUp = RollUp.create(opts);
 * supervisor.start({name: 'roll-up', task: rollUp.run, restart: restarts.always});
 */
export class RollUp {
	/** Creates a roll-up of a node that has counted nothing. */
	static create(opts: Opts): RollUp {
		return new RollUp(opts);
	}

	/** What this node alone counted, for when the platform does not answer. */
	private ownHistory = History.empty;
	private readonly unsent = new Map<number, Unsent[]>();
	private sequence = 0;

	private constructor(private readonly opts: Opts) {}

	/** What this node alone counted over the last three days, up to now. */
	get own(): History {
		this.cut();
		return this.ownHistory;
	}

	/** Task that rolls up once in each period. */
	readonly run: Task = async (signal, ready) => {
		const {clock, random, periodMs} = this.opts;
		ready();
		while (!signal.aborted) {
			await clock.sleep(periodMs * (1 - jitterShare / 2 + jitterShare * random.next()), signal);
			await this.send(shard => this.holderOf(shard));
			await this.write(signal);
		}
	};

	/** Rolls up for the last time: what the platform does not take goes to another collector. */
	async finish(signal: AbortSignal): Promise<void> {
		const {collector, gossip} = this.opts;
		const isOther = ({id}: Member) => id !== gossip.self.id;
		await this.send(shard => this.holderOf(shard));
		for (const shard of shards.all) {
			if (collector.holds(shard) && !(await collector.flush(shard, signal))) {
				this.add(shard, collector.release(shard));
			}
		}

		await this.send(shard => this.holderOf(shard, isOther));
	}

	/** Sends every batch that was not taken yet, the oldest first. */
	private async send(holderOf: (shard: number) => Member | undefined): Promise<void> {
		this.cut();
		await Promise.all(
			[...this.unsent].map(async ([shard, batches]) => {
				const holder = holderOf(shard);
				if (holder) {
					await this.sendAll(holder, shard, batches);
				}
			}),
		);
	}

	private async sendAll(holder: Member, shard: number, batches: Unsent[]): Promise<void> {
		while (batches.length > 0 && (await this.sendOne(holder, shard, batches[0]!))) {
			batches.shift();
		}
	}

	private async sendOne(
		holder: Member,
		shard: number,
		{sequence, history}: Unsent,
	): Promise<boolean> {
		const {gossip, peers, collector, issuer, onBytes} = this.opts;
		if (holder.id === gossip.self.id) {
			collector.take({from: issuer, sequence, shard, history});
			return true;
		}

		const {rows} = history;
		const reply = await peers.ask(holder, id => {
			const message = {type: messageTypes.rollUp, id, from: issuer, sequence, shard, rows};
			onBytes(codec.encode(message).length);
			return message;
		});
		return reply?.type === messageTypes.rolledUp;
	}

	private async write(signal: AbortSignal): Promise<void> {
		const {collector, gossip} = this.opts;
		for (const shard of shards.all) {
			const isHolder = this.holderOf(shard)?.id === gossip.self.id;
			// The first shard is written even when nothing was counted, so that its age shows.
			if (collector.holds(shard) || (isHolder && shard === shards.all[0])) {
				await collector.flush(shard, signal);
			}

			if (isHolder && shard === shards.all[0]) {
				await collector.list(signal);
			}
		}
	}

	/** Takes what was counted since the last time, and divides it among the shards. */
	private cut(): void {
		const {tally, clock} = this.opts;
		const counted = tally.take(clock.now());
		this.ownHistory = this.ownHistory.merge(counted).trim(clock.now());
		for (const shard of shards.all) {
			this.add(
				shard,
				counted.filter(service => shards.of(service) === shard),
			);
		}
	}

	private add(shard: number, history: History): void {
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

	private holderOf(
		shard: number,
		isWanted: (member: Member) => boolean = () => true,
	): Member | undefined {
		const {table} = this.opts.gossip;
		const ids = table.alive.filter(member => isWanted(member)).map(({id}) => id);
		const [id] = rendezvous(`report ${shard}`, ids, 1);
		return id === undefined ? undefined : table.get(id);
	}
}
