import {setTimeout as delay} from 'node:timers/promises';
import type {GetReportReply} from '@medlarsaddle/api';
import {requestOutcomes} from '../callers/request-outcomes.js';
import type {RequestResult} from '../callers/request-result.js';
import type {Deployment} from '../deploy/deployment.js';
import type {Fleet} from '../deploy/fleet.js';
import {deepServices} from './deep-services.js';
import {runExperiment} from './run-experiment.js';
import type {Scenario} from './scenario.js';
import {slowDeepServices} from './slow-deep-services.js';

type Options = Parameters<Scenario['run']>[0];

const durationMs = 14_000;
const triggerFromMs = 4000;
const restartAtMs = 6000;
const rollUpMs = 1000;
const rollUpsToWait = 4;
const maxRelativeError = 0.01;
/** Triggers as in `flood-low` and `slow-deep`. */
const floodLoad = 3;
const floodFactor = 12;
const slowFactor = 3;
const triggerToMs = 9000;

/** The report has to name the right cause and match the callers' count across a restart. */
export const report: Scenario = {
	name: 'report',
	description: 'the report during flood-low with a restart of a node, and during slow-deep',
	async run(options) {
		const flood = await measureFlood(options);
		const slow = await measureSlowness(options);
		return {
			figures: {
				sent: flood.sent,
				reported: flood.reported,
				good: flood.good,
				reportedGood: flood.reportedGood,
				floodCause: flood.cause,
				slowCause: slow.cause,
				slowCauseAbove: slow.callersCause,
				slowCauses: slow.causes,
				platformPutsPerSecond: flood.putsPerSecond,
			},
			bounds: {
				'requests within 1%': isWithinTolerance(flood.reported, flood.sent),
				'good requests within 1%': isWithinTolerance(flood.reportedGood, flood.good),
				'the flood is named': flood.cause.startsWith('overloaded at '),
				'the slow service is named': slow.cause.includes(slow.expected),
				'services above the slow one name it':
					slow.callersCause === '' || slow.callersCause.includes(slow.expected),
			},
		};
	},
};

const isTriggered = (ms: number): boolean => ms >= triggerFromMs && ms < triggerToMs;

const measureFlood = async ({deployment, seed, scale}: Options) => {
	let reply: GetReportReply | undefined;
	const {shots, platformCalls} = await runExperiment({
		deployment,
		seed,
		scale,
		admission: 'on',
		rollUpMs,
		durationMs,
		loadAt: ms => (isTriggered(ms) ? floodLoad : 0.4),
		shareAt: (job, ms) =>
			job.share * (isTriggered(ms) && job.rank === 'background' ? floodFactor : 1),
		actions: [
			{
				atMs: restartAtMs,
				async run(fleet) {
					const host = fleet.hosts.at(-1)!;
					fleet.stopTraffic(host);
					await host.node.end('SIGTERM');
					await fleet.restartHost(host);
					fleet.resumeTraffic(host);
				},
			},
		],
		async inspect(fleet) {
			reply = await fetchReport(fleet);
		},
	});
	const counted = shots.filter(shot => isCounted(shot));
	const ranks = reply?.ranks ?? [];
	const sum = (pick: (row: GetReportReply['ranks'][number]) => number) =>
		ranks.reduce((total, row) => total + pick(row), 0);
	return {
		sent: counted.length,
		reported: sum(row => row.good + row.late + row.refused + row.failed + row.unknown),
		good: shots.filter(shot => isGood(shot, ranks)).length,
		reportedGood: sum(row => row.good),
		cause: largestCause(ranks.filter(({rank}) => rank === 'background')).cause,
		putsPerSecond: Number((((platformCalls.put ?? 0) * 1000) / durationMs).toFixed(1)),
	};
};

const measureSlowness = async ({deployment, seed, scale}: Options) => {
	let reply: GetReportReply | undefined;
	await runExperiment({
		deployment,
		seed,
		scale,
		admission: 'on',
		rollUpMs,
		durationMs,
		loadAt: () => 0.6,
		actions: [
			{atMs: triggerFromMs, run: slowDeepServices(slowFactor)},
			{atMs: triggerToMs, run: slowDeepServices(1)},
		],
		async inspect(fleet) {
			reply = await fetchReport(fleet);
		},
	});
	const expected = deepServiceOf(deployment);
	const ranks = reply?.ranks ?? [];
	const {cause, counts} = largestCause(ranks);
	const callersCause = largestCause(ranks.filter(({service}) => service !== expected)).cause;
	return {expected, cause, callersCause, causes: Object.fromEntries(counts)};
};

/** Fetches the report from a node after the roll-ups that carry the last counts. */
const fetchReport = async (fleet: Fleet): Promise<GetReportReply> => {
	await delay(rollUpMs * rollUpsToWait);
	const {text} = await fleet.runClient(fleet.hosts[0]!, ['report', '--json']);
	return JSON.parse(text) as GetReportReply;
};

const largestCause = (ranks: GetReportReply['ranks']) => {
	const counts = new Map<string, number>();
	for (const {cause, count} of ranks.flatMap(({causes}) => causes)) {
		counts.set(cause, (counts.get(cause) ?? 0) + count);
	}

	return {counts, cause: [...counts].toSorted((a, b) => b[1] - a[1])[0]?.[0] ?? ''};
};

/** False if no node answered, because the connection failed or the caller timed out. */
const isCounted = ({fault = ''}: RequestResult): boolean => !fault.includes('Error');

/** Whether the caller saw the request meet the objective that the report states. */
const isGood = (
	{outcome, service, rank, tookMs}: RequestResult,
	ranks: GetReportReply['ranks'],
): boolean => {
	const row = ranks.find(other => other.service === service && other.rank === rank);
	return outcome === requestOutcomes.good && (!row?.withinMs || tookMs <= row.withinMs);
};

const isWithinTolerance = (value: number, expected: number): boolean =>
	Math.abs(value - expected) <= expected * maxRelativeError;

const deepServiceOf = ({services}: Deployment): string =>
	services.find(({name}) => deepServices.has(name))!.name;
