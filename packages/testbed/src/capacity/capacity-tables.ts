import {z} from 'zod';
import {plan} from './plan.js';
import {fitLine} from './fit-line.js';

const spreadSize = z.object({
	nodes: z.number(),
	coreShare: z.number(),
	bytesPerSecond: z.number(),
	messagesPerSecond: z.number(),
	platformCallsPerSecond: z.number(),
	slowestMs: z.number(),
	bytesPerChangeAndNode: z.number(),
	messagesPerChangeAndNode: z.number(),
});
const spreadFigures = z.object({nodes20: spreadSize, nodes60: spreadSize, nodes180: spreadSize});
const reportCost = z.object({
	bytesPerSecond: z.number(),
	collectorCoreShare: z.number(),
	objectBytes: z.number(),
});
const fullSizeFigures = z.object({
	members: z.number(),
	quiet: z.object({bytesPerSecond: z.number(), messagesPerSecond: z.number()}),
	slowestChangeMs: z.number(),
	rackGoneEverywhereMs: z.number(),
	stateMb: z.record(z.string(), z.number()),
	reportAtMost: reportCost,
	reportAtHalfDepth: reportCost,
});

const secondsPerDay = 86_400;
const benchDataCentres = 3;
/** Two readers watch each of 8 shards. */
const watchesPerDataCentre = 16;
const watchSeconds = 20;
const retriesPerSecond = 1;
const reportShards = 16;
const rollUpSeconds = 15;

/**
 * Builds the tables of the capacity page from the results of `spread` and `full-size`.
 *
 * @example
 * console.log(capacityTables(results));
 */
export const capacityTables = (results: ReadonlyMap<string, Record<string, unknown>>): string => {
	const spread = spreadFigures.parse(results.get('spread'));
	const fullSize = fullSizeFigures.parse(results.get('full-size'));
	return [
		nodeTable(spread, fullSize),
		stateTable(fullSize),
		reportTable(fullSize),
		platformTable(spread),
	].join('\n\n');
};

const nodeTable = (
	spread: z.infer<typeof spreadFigures>,
	fullSize: z.infer<typeof fullSizeFigures>,
): string => {
	const sizes = [spread.nodes20, spread.nodes60, spread.nodes180];
	const members = plan.nodes / plan.dataCentres;
	const changesPerSecond = plan.changesPerDay / secondsPerDay;
	const trend = fitLine(sizes.map(size => [size.nodes / benchDataCentres, size.coreShare]));
	// The nodes of one process split its fixed cost, which can make the share of a node fall as the
	// number grows. The fall does not continue, so a falling line is not extrapolated.
	const isRising = trend.slope > 0;
	const nodeCoreShare = isRising
		? trend.intercept + trend.slope * members
		: Math.max(...sizes.map(({coreShare}) => coreShare));
	const bytesPerChange = Math.max(...sizes.map(size => size.bytesPerChangeAndNode));
	const bytesPerSecond = fullSize.quiet.bytesPerSecond + bytesPerChange * changesPerSecond;
	const rows = [
		['members known', '', '', '', `${Math.round(members)}`, 'computed'],
		[
			'processor time, share of a core',
			...sizes.map(size => formatPercent(size.coreShare)),
			`${formatPercent(nodeCoreShare)} of ${formatPercent(plan.maxCoreShare)}`,
			isRising ? 'extrapolated from the slope' : 'largest measured; it did not grow with the nodes',
		],
		[
			'control bytes a second, quiet',
			...sizes.map(size => size.bytesPerSecond.toFixed(0)),
			fullSize.quiet.bytesPerSecond.toFixed(0),
			'measured at full size on a manual clock',
		],
		[
			'control messages a second, quiet',
			...sizes.map(size => size.messagesPerSecond.toFixed(1)),
			fullSize.quiet.messagesPerSecond.toFixed(1),
			'measured at full size on a manual clock',
		],
		[
			'bytes for each change',
			...sizes.map(size => size.bytesPerChangeAndNode.toFixed(0)),
			bytesPerChange.toFixed(0),
			'largest measured',
		],
		[
			'control bytes a second with the changes',
			'',
			'',
			'',
			`${bytesPerSecond.toFixed(0)} of ${plan.maxBytesPerSecond}`,
			'computed',
		],
		[
			'slowest change in force, ms',
			...sizes.map(size => size.slowestMs.toFixed(0)),
			fullSize.slowestChangeMs.toFixed(0),
			'measured at full size on a manual clock, one data centre',
		],
		[
			'rack of 20 gone everywhere, ms',
			'',
			'',
			'',
			fullSize.rackGoneEverywhereMs.toFixed(0),
			'measured at full size on a manual clock',
		],
		[
			'calls a second, as entry and as endpoint',
			'',
			'',
			'',
			`${((2 * plan.callsPerSecond) / plan.nodes).toFixed(0)}`,
			'computed',
		],
	];
	return formatTable(
		['each node', ...sizes.map(({nodes}) => `${nodes} nodes`), 'plan', 'how it is known'],
		rows,
	);
};

const stateTable = ({stateMb}: z.infer<typeof fullSizeFigures>): string => {
	const total = Object.values(stateMb).reduce((sum, mb) => sum + mb, 0);
	return formatTable(
		['state of a node at the planned size', 'MB of heap'],
		[
			...Object.entries(stateMb).map(([name, mb]) => [name, mb.toFixed(2)]),
			['all', `${total.toFixed(2)} of ${plan.maxStateMb}`],
		],
	);
};

const reportTable = ({
	reportAtMost,
	reportAtHalfDepth,
}: z.infer<typeof fullSizeFigures>): string => {
	const costs = [reportAtMost, reportAtHalfDepth];
	return formatTable(
		['the report', 'every call a root request', 'seven calls to a request', 'how it is known'],
		[
			[
				'bytes a second that a node sends to collectors',
				...costs.map(cost => String(cost.bytesPerSecond)),
				'measured',
			],
			[
				`share of a core of a report collector, of ${formatPercent(plan.maxCoreShare)}`,
				...costs.map(cost => formatPercent(cost.collectorCoreShare)),
				'measured for 200 batches, computed for those of 938 nodes',
			],
			[
				'largest store object, KB of 1024',
				...costs.map(cost => (cost.objectBytes / 1024).toFixed(0)),
				'measured, three days of every row',
			],
		],
	);
};

const platformTable = (spread: z.infer<typeof spreadFigures>): string => {
	const watchReadsPerSecond = (watchesPerDataCentre * plan.dataCentres) / watchSeconds;
	const changesPerSecond = plan.changesPerDay / secondsPerDay;
	const rollUpsPerSecond = (reportShards * plan.dataCentres) / rollUpSeconds;
	// Each change ends the watches of two readers in each data centre and costs its writer a read.
	const readsPerSecond = watchReadsPerSecond + changesPerSecond * (2 * plan.dataCentres + 1);
	return formatTable(
		['platform calls a second', 'figure', 'how it is known'],
		[
			[
				'measured, 20 nodes in 3 data centres',
				spread.nodes20.platformCallsPerSecond.toFixed(1),
				'measured',
			],
			[
				'measured, 180 nodes in 3 data centres',
				spread.nodes180.platformCallsPerSecond.toFixed(1),
				'measured',
			],
			[
				'waiting watches at the plan',
				String(watchesPerDataCentre * plan.dataCentres),
				'computed from 2 readers of 8 shards',
			],
			[
				'reads at the plan',
				`${readsPerSecond.toFixed(1)} of ${plan.platformReadsPerSecond}`,
				'computed',
			],
			[
				'writes at the plan, changes and roll-ups',
				`${(changesPerSecond + rollUpsPerSecond).toFixed(2)} of ${plan.platformWritesPerSecond}`,
				'computed, no retries',
			],
			[
				'reads at the plan while it is down',
				String(watchesPerDataCentre * plan.dataCentres * retriesPerSecond),
				'computed from the longest retry delay',
			],
		],
	);
};

const formatPercent = (share: number): string => `${(share * 100).toFixed(2)}%`;

const formatTable = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string =>
	[header, header.map(() => '---'), ...rows].map(row => `| ${row.join(' | ')} |`).join('\n');
