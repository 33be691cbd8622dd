import {createRandom} from '@medlarsaddle/core';
import {OutcomeHistory, Tally, outcomeClasses} from '@medlarsaddle/report';
import {codec} from '@medlarsaddle/wire';

type ReportCost = {
	/** Bytes a second that a node sends to the collectors. */
	readonly bytesPerSecond: number;
	/** Share of a core that a collector spends on merging the batches of its data centre. */
	readonly collectorCoreShare: number;
	/** Size of the largest store object of a data centre, which holds three days. */
	readonly objectBytes: number;
};

const members = 938;
const services = 550;
const ranks = ['critical', 'background'];
const shardCount = 16;
const rollUpS = 15;
const warmUpRounds = 3;
const historyHours = 73;
const hourMs = 3_600_000;
const startMs = 1_800_000_000_000;
const sampledBatches = 200;
const refusedShare = 0.05;
const maxLatencyMs = 2000;

/**
 * Measures the cost of the report at the planned size for a rate of root requests at each node.
 *
 * @example
 * const {objectBytes} = measureReportCost(1, 75);
 */
export const measureReportCost = (seed: number, requestsPerSecond: number): ReportCost => {
	const batches = Array.from({length: sampledBatches}, (_batch, index) =>
		createBatch(seed + index, requestsPerSecond * rollUpS),
	);
	const encodedBatches = batches.map(batch => codec.encode(firstShardOf(batch).rows));
	const bytes = encodedBatches.reduce((sum, {length}) => sum + length * shardCount, 0);
	const mergeBatches = () =>
		OutcomeHistory.empty.merge(
			...encodedBatches.map(message => OutcomeHistory.of(codec.decode(message))),
		);
	for (let round = 0; round < warmUpRounds; round++) {
		mergeBatches();
	}

	const startUsage = process.cpuUsage();
	mergeBatches();
	const {user, system} = process.cpuUsage(startUsage);
	const cpuMsPerBatch = (user + system) / 1000 / sampledBatches;
	return {
		bytesPerSecond: Math.round(bytes / sampledBatches / rollUpS),
		collectorCoreShare: Number(((cpuMsPerBatch * members) / 1000 / rollUpS).toFixed(4)),
		objectBytes: Buffer.byteLength(JSON.stringify(createFullHistory(seed).rows)),
	};
};

const createBatch = (seed: number, requests: number): OutcomeHistory => {
	const random = createRandom(seed);
	const tally = Tally.create();
	for (let request = 0; request < requests; request++) {
		const isRefused = random.next() < refusedShare;
		tally.count({
			service: `service-${random.below(services)}`,
			rank: ranks[random.below(ranks.length)]!,
			outcome: isRefused ? outcomeClasses.refused : outcomeClasses.good,
			cause: isRefused ? `overloaded at service-${random.below(services)}` : '',
			elapsedMs: isRefused ? undefined : random.next() * maxLatencyMs,
		});
	}

	return tally.flush(startMs);
};

const firstShardOf = (history: OutcomeHistory): OutcomeHistory =>
	history.filter(service => Number(service.split('-')[1]) % shardCount === 0);

/** Three days of one shard, with requests in every hour of each row. */
const createFullHistory = (seed: number): OutcomeHistory => {
	const random = createRandom(seed);
	let history = OutcomeHistory.empty;
	for (let hour = 0; hour < historyHours; hour++) {
		const nowMs = startMs + hour * hourMs;
		const tally = Tally.create();
		for (let service = 0; service < services; service += shardCount) {
			for (const rank of ranks) {
				for (let request = 0; request < 20; request++) {
					const isRefused = random.next() < refusedShare;
					tally.count({
						service: `service-${service}`,
						rank,
						outcome: isRefused ? outcomeClasses.refused : outcomeClasses.good,
						cause: isRefused ? `overloaded at service-${random.below(services)}` : '',
						elapsedMs: isRefused ? undefined : random.next() * maxLatencyMs,
					});
				}
			}
		}

		history = history.merge(tally.flush(nowMs)).trim(nowMs);
	}

	return history;
};
