import {type Clock, type Log, events, faultKinds} from '@medlarsaddle/core';
import type {ObjectStore, StorePosition} from '@medlarsaddle/records';
import {OutcomeHistory} from '@medlarsaddle/report';
import {ReportObject} from './report-object.js';
import {shards} from './shards.js';

type Opts = {
	readonly clock: Clock;
	readonly log: Log;
	readonly store: ObjectStore | undefined;
	readonly dataCentre: string;
	/** Name of this process, different after each start of the node. */
	readonly issuer: string;
};

type Batch = {
	readonly from: string;
	readonly sequence: number;
	readonly shard: number;
	readonly history: OutcomeHistory;
};

type Pending = {
	/** Batches that are not written yet, merged into one once they are many. */
	batches: OutcomeHistory[];
	/** A write without an answer so far, with the counts that it carries. */
	openWrite?: {readonly id: string; readonly history: OutcomeHistory};
	/** Content of the store object after the latest read or write of this process. */
	latest?: {readonly position: StorePosition | undefined; readonly value: ReportObject};
};

const maxSenders = 4000;
const maxBatches = 256;

/**
 * Collects the counts of the nodes of a data centre, for some of its services, and writes them to
 * the platform. Counts that are not written yet are lost when the process fails.
 *
 * @example
 * collector.add(batch);
 * await collector.flush(0, signal);
 */
export class Collector {
	/** Creates a collector without counts. */
	static create(opts: Opts): Collector {
		return new Collector(opts);
	}

	private readonly pending = new Map<number, Pending>();
	/** Latest sequence of each sender and shard, so that a batch that is sent again counts once. */
	private readonly latestSequences = new Map<string, number>();
	private writeCount = 0;
	private isRegistered = false;

	private constructor(private readonly opts: Opts) {}

	/** Adds a batch, unless it was added before. */
	add({from, sequence, shard, history}: Batch): void {
		const sender = `${from} ${shard}`;
		if (sequence <= (this.latestSequences.get(sender) ?? 0)) {
			return;
		}

		// Entries are in the order of their latest batch, so the first sender has been silent longest.
		this.latestSequences.delete(sender);
		this.latestSequences.set(sender, sequence);
		if (this.latestSequences.size > maxSenders) {
			this.latestSequences.delete(this.latestSequences.keys().next().value!);
		}

		const pending = this.pendingOf(shard);
		pending.batches.push(history);
		if (pending.batches.length >= maxBatches) {
			pending.batches = [OutcomeHistory.empty.merge(...pending.batches)];
		}
	}

	/** Whether counts of a shard wait to be written. */
	hasUnwritten(shard: number): boolean {
		const pending = this.pending.get(shard);
		return pending !== undefined && (pending.batches.length > 0 || pending.openWrite !== undefined);
	}

	/** Removes and returns the counts that were not written, to send them to another collector. */
	release(shard: number): OutcomeHistory {
		const pending = this.pendingOf(shard);
		this.pending.delete(shard);
		// A write without an answer may have taken effect; sending its counts again could count them
		// twice.
		return OutcomeHistory.empty.merge(...pending.batches);
	}

	/**
	 * Writes the waiting counts of a shard, or only the time of the write when there are none;
	 * resolves with whether nothing is left to write.
	 */
	async flush(shard: number, signal: AbortSignal): Promise<boolean> {
		const {store, dataCentre, clock, log, issuer} = this.opts;
		if (!store) {
			return false;
		}

		const pending = this.pendingOf(shard);
		const name = shards.objectName(dataCentre, shard);
		if (!pending.latest || pending.openWrite) {
			const read = await store.get(name, signal);
			if (read.isErr()) {
				return false;
			}

			pending.latest = {
				position: read.value.position,
				value: ReportObject.of(read.value.value),
			};
			if (pending.openWrite && pending.latest.value.hasWrite(pending.openWrite.id)) {
				pending.openWrite = undefined;
			}
		}

		if (!pending.openWrite) {
			const history = OutcomeHistory.empty.merge(...pending.batches);
			pending.openWrite = {id: `${issuer}/${this.writeCount++}`, history};
			pending.batches = [];
		}

		const {latest, openWrite} = pending;
		const value = latest.value.with(openWrite.history, openWrite.id, clock.now());
		const put = await store.put(name, value.stored, latest.position, signal);
		if (put.isOk()) {
			pending.openWrite = undefined;
			pending.latest = {position: put.value, value};
			return pending.batches.length === 0;
		}

		pending.latest = undefined;
		if (put.error.kind === faultKinds.tooLarge) {
			log(events.reportTooLarge, {object: name});
			pending.openWrite = undefined;
		}

		return false;
	}

	/** Adds the data centre to the list of those that report, so that its absence is noticed. */
	async registerDataCentre(signal: AbortSignal): Promise<void> {
		const {store, dataCentre} = this.opts;
		if (this.isRegistered || !store) {
			return;
		}

		const read = await store.get(shards.directoryName, signal);
		if (read.isErr()) {
			return;
		}

		const names = namesIn(read.value.value);
		if (names.includes(dataCentre)) {
			this.isRegistered = true;
			return;
		}

		const value = {dataCentres: [...names, dataCentre]};
		const put = await store.put(shards.directoryName, value, read.value.position, signal);
		this.isRegistered = put.isOk();
	}

	private pendingOf(shard: number): Pending {
		const existing = this.pending.get(shard);
		if (existing) {
			return existing;
		}

		const created: Pending = {batches: []};
		this.pending.set(shard, created);
		return created;
	}
}

const namesIn = (value: unknown): string[] => {
	const {dataCentres} = (value ?? {}) as {dataCentres?: unknown};
	return Array.isArray(dataCentres) ? dataCentres.filter(name => typeof name === 'string') : [];
};
