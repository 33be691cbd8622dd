import {type Clock, type Log, events, faultKinds} from '@medlarsaddle/core';
import type {ObjectStore} from '@medlarsaddle/records';
import {History} from '@medlarsaddle/report';
import {RolledUp} from './rolled-up.js';
import {shards} from './shards.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly store: ObjectStore | undefined;
	readonly dataCentre: string;
	/** Name of this process, different after each start. */
	readonly issuer: string;
};

type Batch = {
	readonly from: string;
	readonly sequence: number;
	readonly shard: number;
	readonly history: History;
};

type Pending = {
	/** Batches that were not written yet, merged once they are many. */
	batches: History[];
	/** A write whose answer has not come, with what it holds. */
	open?: {readonly id: string; readonly history: History};
	/** What the store held after this process's latest write. */
	known?: {readonly version: number; readonly value: RolledUp};
};

const maxSenders = 4000;
const maxBatches = 256;

/**
 * Collects what the nodes of a data centre counted, for some of its services, and writes it to the
 * platform. What it holds in memory is lost when its process fails.
 *
 * @example
 * collector.take(batch);
 * await collector.flush(0, signal);
 */
export class Collector {
	/** Creates a collector that holds nothing. */
	static create(opts: Opts): Collector {
		return new Collector(opts);
	}

	private readonly pending = new Map<number, Pending>();
	/** The latest sequence of each sender and shard, so that a batch sent again counts once. */
	private readonly seen = new Map<string, number>();
	private writeCount = 0;
	private isListed = false;

	private constructor(private readonly opts: Opts) {}

	/** Takes in a batch, once. */
	take({from, sequence, shard, history}: Batch): void {
		const sender = `${from} ${shard}`;
		if (sequence <= (this.seen.get(sender) ?? 0)) {
			return;
		}

		// The order of insertion is that of the latest batch, so the first has been silent the longest.
		this.seen.delete(sender);
		this.seen.set(sender, sequence);
		if (this.seen.size > maxSenders) {
			this.seen.delete(this.seen.keys().next().value!);
		}

		const pending = this.pendingOf(shard);
		pending.batches.push(history);
		if (pending.batches.length >= maxBatches) {
			pending.batches = [History.empty.merge(...pending.batches)];
		}
	}

	/** Whether counts of a shard wait to be written. */
	holds(shard: number): boolean {
		const pending = this.pending.get(shard);
		return pending !== undefined && (pending.batches.length > 0 || pending.open !== undefined);
	}

	/** Takes back what was not written, to hand it to another collector. */
	release(shard: number): History {
		const pending = this.pendingOf(shard);
		this.pending.delete(shard);
		// An open write may have taken effect; to send its counts again could count them twice.
		return History.empty.merge(...pending.batches);
	}

	/** Writes what waits, or at least the time; resolves with whether nothing is left to write. */
	async flush(shard: number, signal: AbortSignal): Promise<boolean> {
		const {store, dataCentre, clock, log, issuer} = this.opts;
		if (!store) {
			return false;
		}

		const pending = this.pendingOf(shard);
		const name = shards.objectOf(dataCentre, shard);
		if (!pending.known || pending.open) {
			const read = await store.get(name, signal);
			if (read.isErr()) {
				return false;
			}

			pending.known = {version: read.value.version, value: RolledUp.of(read.value.value)};
			if (pending.open && pending.known.value.holds(pending.open.id)) {
				pending.open = undefined;
			}
		}

		if (!pending.open) {
			const history = History.empty.merge(...pending.batches);
			pending.open = {id: `${issuer}/${this.writeCount++}`, history};
			pending.batches = [];
		}

		const {known, open} = pending;
		const value = known.value.with(open.history, open.id, clock.now());
		const put = await store.put(name, value.stored, known.version, signal);
		if (put.isOk()) {
			pending.open = undefined;
			pending.known = {version: put.value, value};
			return pending.batches.length === 0;
		}

		pending.known = undefined;
		if (put.error.kind === faultKinds.tooLarge) {
			log(events.reportTooLarge, {object: name});
			pending.open = undefined;
		}

		return false;
	}

	/** Lists the data centre among those that report, so that its absence shows. */
	async list(signal: AbortSignal): Promise<void> {
		const {store, dataCentre} = this.opts;
		if (this.isListed || !store) {
			return;
		}

		const read = await store.get(shards.directory, signal);
		if (read.isErr()) {
			return;
		}

		const names = namesIn(read.value.value);
		if (names.includes(dataCentre)) {
			this.isListed = true;
			return;
		}

		const value = {dataCentres: [...names, dataCentre]};
		const put = await store.put(shards.directory, value, read.value.version, signal);
		this.isListed = put.isOk();
	}

	private pendingOf(shard: number): Pending {
		const known = this.pending.get(shard);
		if (known) {
			return known;
		}

		const fresh: Pending = {batches: []};
		this.pending.set(shard, fresh);
		return fresh;
	}
}

const namesIn = (value: unknown): string[] => {
	const {dataCentres} = (value ?? {}) as {dataCentres?: unknown};
	return Array.isArray(dataCentres) ? dataCentres.filter(name => typeof name === 'string') : [];
};
