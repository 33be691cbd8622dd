import {z} from 'zod';
import {plan} from './plan.js';
import {slope} from './slope.js';

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
const reportSize = z.object({
	bytesPerSecond: z.number(),
	collectorCoreShare: z.number(),
	objectBytes: z.number(),
});
const fullFigures = z.object({
	members: z.number(),
	quiet: z.object({bytesPerSecond: z.number(), messagesPerSecond: z.number()}),
	slowestChangeMs: z.number(),
	rackGoneEverywhereMs: z.number(),
	stateMb: z.record(z.string(), z.number()),
	reportAtMost: reportSize,
	reportAtHalfDepth: reportSize,
});

const secondsPerDay = 86_400;
const benchDataCentres = 3;
const shardsReadPerDataCentre = 16;
const watchSeconds = 20;
const retryPerSecond = 1;
const reportShards = 16;
const rollUpSeconds = 15;

/**
 * Works out the tables of the capacity page from the results of `spread` and `full-size`.
 *
 * @example
 * console.log(capacityTables(results));
 */
export const capacityTables = (results: ReadonlyMap<string, Record<string, unknown>>): string => {
	const spread = spreadFigures.parse(results.get('spread'));
	const full = fullFigures.parse(results.get('full-size'));
	return [nodeTable(spread, full), stateTable(full), reportTable(full), platformTable(spread)].join(
		'\n\n',
	);
};

const nodeTable = (
	spread: z.infer<typeof spreadFigures>,
	full: z.infer<typeof fullFigures>,
): string => {
	const sizes = [spread.nodes20, spread.nodes60, spread.nodes180];
	const members = plan.nodes / plan.dataCentres;
	const changesPerSecond = plan.changesPerDay / secondsPerDay;
	const line = slope(sizes.map(size => [size.nodes / benchDataCentres, size.coreShare]));
	// A fixed cost shared by the nodes of one process makes the share fall; that does not go on.
	const doesGrow = line.perUnit > 0;
	const core = doesGrow
		? line.at0 + line.perUnit * members
		: Math.max(...sizes.map(({coreShare}) => coreShare));
	const perChange = Math.max(...sizes.map(size => size.bytesPerChangeAndNode));
	const bytes = full.quiet.bytesPerSecond + perChange * changesPerSecond;
	const rows = [
		['members known', '', '', '', `${Math.round(members)}`, 'computed'],
		[
			'processor time, share of a core',
			...sizes.map(size => percent(size.coreShare)),
			`${percent(core)} of ${percent(plan.maxCoreShare)}`,
			doesGrow ? 'extrapolated from the slope' : 'largest measured; it did not grow with the nodes',
		],
		[
			'control bytes a second, quiet',
			...sizes.map(size => size.bytesPerSecond.toFixed(0)),
			full.quiet.bytesPerSecond.toFixed(0),
			'measured at full size on a manual clock',
		],
		[
			'control messages a second, quiet',
			...sizes.map(size => size.messagesPerSecond.toFixed(1)),
			full.quiet.messagesPerSecond.toFixed(1),
			'measured at full size on a manual clock',
		],
		[
			'bytes for each change',
			...sizes.map(size => size.bytesPerChangeAndNode.toFixed(0)),
			perChange.toFixed(0),
			'largest measured',
		],
		[
			'control bytes a second with the changes',
			'',
			'',
			'',
			`${bytes.toFixed(0)} of ${plan.maxBytesPerSecond}`,
			'computed',
		],
		[
			'slowest change in force, ms',
			...sizes.map(size => size.slowestMs.toFixed(0)),
			full.slowestChangeMs.toFixed(0),
			'measured at full size on a manual clock, one data centre',
		],
		[
			'rack of 20 gone everywhere, ms',
			'',
			'',
			'',
			full.rackGoneEverywhereMs.toFixed(0),
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
	return table(
		['each node', ...sizes.map(({nodes}) => `${nodes} nodes`), 'plan', 'how it is known'],
		rows,
	);
};

const stateTable = ({stateMb}: z.infer<typeof fullFigures>): string => {
	const total = Object.values(stateMb).reduce((sum, mb) => sum + mb, 0);
	return table(
		['state of a node at the planned size', 'MB of heap'],
		[
			...Object.entries(stateMb).map(([name, mb]) => [name, mb.toFixed(2)]),
			['all', `${total.toFixed(2)} of ${plan.maxMb}`],
		],
	);
};

const reportTable = ({reportAtMost, reportAtHalfDepth}: z.infer<typeof fullFigures>): string => {
	const both = [reportAtMost, reportAtHalfDepth];
	return table(
		['the report', 'every call a root request', 'seven calls to a request', 'how it is known'],
		[
			[
				'bytes a second that a node sends to collectors',
				...both.map(size => String(size.bytesPerSecond)),
				'measured',
			],
			[
				`share of a core of a report collector, of ${percent(plan.maxCoreShare)}`,
				...both.map(size => percent(size.collectorCoreShare)),
				'measured for 200 batches, computed for those of 938 nodes',
			],
			[
				'largest store object, KB of 1024',
				...both.map(size => (size.objectBytes / 1024).toFixed(0)),
				'measured, three days of every row',
			],
		],
	);
};

const platformTable = (spread: z.infer<typeof spreadFigures>): string => {
	const watches = (shardsReadPerDataCentre * plan.dataCentres) / watchSeconds;
	const changes = plan.changesPerDay / secondsPerDay;
	const rollUps = (reportShards * plan.dataCentres) / rollUpSeconds;
	// Each change wakes the readers of its shard and costs its writer a read.
	const reads = watches + changes * (2 * plan.dataCentres + 1);
	return table(
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
				String(shardsReadPerDataCentre * plan.dataCentres),
				'computed from 2 readers of 8 shards',
			],
			['reads at the plan', `${reads.toFixed(1)} of ${plan.platformReadsPerSecond}`, 'computed'],
			[
				'writes at the plan, changes and roll-ups',
				`${(changes + rollUps).toFixed(2)} of ${plan.platformWritesPerSecond}`,
				'computed, no retries',
			],
			[
				'reads at the plan while it is down',
				String(shardsReadPerDataCentre * plan.dataCentres * retryPerSecond),
				'computed from the longest retry delay',
			],
		],
	);
};

const percent = (share: number): string => `${(share * 100).toFixed(2)}%`;

const table = (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string =>
	[head, head.map(() => '---'), ...rows].map(row => `| ${row.join(' | ')} |`).join('\n');
