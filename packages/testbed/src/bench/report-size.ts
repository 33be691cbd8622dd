import {createRandom} from '@medlarsaddle/core';
import {OutcomeHistory, Tally, outcomeClasses} from '@medlarsaddle/report';
import {codec} from '@medlarsaddle/wire';

type Size = {
	/** Bytes that a node sends to the collectors. */
	readonly bytesPerSecond: number;
	/** Share of a core that a collector spends on the batches of its data centre. */
	readonly collectorCoreShare: number;
	/** Largest of the store objects of a data centre, with three days in it. */
	readonly objectBytes: number;
};

const members = 938;
const services = 550;
const ranks = ['critical', 'background'];
const shardCount = 16;
const rollUpS = 15;
const warmRounds = 3;
const hours = 73;
const hourMs = 3_600_000;
const startMs = 1_800_000_000_000;
const sampledBatches = 200;
const badShare = 0.05;
const longestMs = 2000;

/**
 * What the report costs at the planned size, when each node takes in so many root requests a second.
 *
 * @example
 * const {objectBytes} = reportSize(1, 75);
 */
export const reportSize = (seed: number, requestsPerSecond: number): Size => {
	const batches = Array.from({length: sampledBatches}, (_batch, index) =>
		batchOf(seed + index, requestsPerSecond * rollUpS),
	);
	const messages = batches.map(batch => codec.encode(ofShard(batch).rows));
	const bytes = messages.reduce((sum, {length}) => sum + length * shardCount, 0);
	const collect = () =>
		OutcomeHistory.empty.merge(
			...messages.map(message => OutcomeHistory.of(codec.decode(message))),
		);
	for (let round = 0; round < warmRounds; round++) {
		collect();
	}

	const startUs = process.cpuUsage();
	collect();
	const {user, system} = process.cpuUsage(startUs);
	const msPerBatch = (user + system) / 1000 / sampledBatches;
	return {
		bytesPerSecond: Math.round(bytes / sampledBatches / rollUpS),
		collectorCoreShare: Number(((msPerBatch * members) / 1000 / rollUpS).toFixed(4)),
		objectBytes: Buffer.byteLength(JSON.stringify(fullHistory(seed).rows)),
	};
};

const batchOf = (seed: number, requests: number): OutcomeHistory => {
	const random = createRandom(seed);
	const tally = Tally.create();
	for (let request = 0; request < requests; request++) {
		const isBad = random.next() < badShare;
		tally.count({
			service: `service-${random.below(services)}`,
			rank: ranks[random.below(ranks.length)]!,
			outcome: isBad ? outcomeClasses.refused : outcomeClasses.good,
			cause: isBad ? `overloaded at service-${random.below(services)}` : '',
			elapsedMs: isBad ? undefined : random.next() * longestMs,
		});
	}

	return tally.flush(startMs);
};

const ofShard = (history: OutcomeHistory): OutcomeHistory =>
	history.filter(service => Number(service.split('-')[1]) % shardCount === 0);

/** Three days of one shard, every row with requests in each hour. */
const fullHistory = (seed: number): OutcomeHistory => {
	const random = createRandom(seed);
	let history = OutcomeHistory.empty;
	for (let hour = 0; hour < hours; hour++) {
		const nowMs = startMs + hour * hourMs;
		const tally = Tally.create();
		for (let service = 0; service < services; service += shardCount) {
			for (const rank of ranks) {
				for (let request = 0; request < 20; request++) {
					const isBad = random.next() < badShare;
					tally.count({
						service: `service-${service}`,
						rank,
						outcome: isBad ? outcomeClasses.refused : outcomeClasses.good,
						cause: isBad ? `overloaded at service-${random.below(services)}` : '',
						elapsedMs: isBad ? undefined : random.next() * longestMs,
					});
				}
			}
		}

		history = history.merge(tally.flush(nowMs)).trim(nowMs);
	}

	return history;
};
