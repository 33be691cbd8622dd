import type {RequestResult} from '../callers/request-result.js';
import type {Deployment} from '../deploy/deployment.js';
import type {Fleet} from '../deploy/fleet.js';
import {countFaults} from './count-faults.js';
import {runExperiment} from './run-experiment.js';
import {recoveryTime} from './recovery-time.js';
import type {Scenario} from './scenario.js';
import {summarize} from './summarize.js';
import {timeline} from './timeline.js';

type Job = Deployment['jobs'][number];
type Summary = ReturnType<typeof summarize>;

type Opts = {
	readonly name: string;
	readonly description: string;
	/** Load outside of the trigger, as a multiple of the capacity. */
	readonly baseLoad: number;
	/** Load during the trigger, as a multiple of the capacity; the base load if not given. */
	readonly triggerLoad?: number;
	/** Factor on a job's share of the load during the trigger. */
	readonly shareFactor?: (job: Job) => number;
	readonly maxTries?: number;
	readonly retryDelayMs?: number;
	readonly coldRequests?: number;
	readonly actions?: ReadonlyArray<{readonly atMs: number; run(fleet: Fleet): Promise<void>}>;
	readonly unmeasuredLoads?: (fleet: Fleet) => ReadonlyArray<Promise<unknown>>;
	/** Bounds in addition to those that every overload scenario has. */
	readonly bounds: (measurements: Measurements) => Record<string, boolean>;
};

/** Measurements that the bounds of a scenario check. */
type Measurements = {
	readonly capacity: number;
	readonly all: Summary;
	readonly during: Readonly<Record<string, Summary>>;
	readonly after: Readonly<Record<string, Summary>>;
	readonly recoveryMs: number;
	readonly amplification: number;
};

/**
 * Builds a scenario with a phase of base load, a trigger and a phase of recovery. The baseline gets
 * the same load with every limit off.
 *
 * @example
 * const surge = overloadScenario({name, description, baseLoad: 0.5, triggerLoad: 3, bounds});
 */
export const overloadScenario = (opts: Opts): Scenario => ({
	name: opts.name,
	description: opts.description,
	async run({deployment, seed, scale, hasBaseline}) {
		const {figures, bounds} = await measure(opts, deployment, {seed, scale, admission: 'on'});
		return {
			figures,
			bounds,
			baselineFigures: hasBaseline
				? (await measure(opts, deployment, {seed, scale, admission: 'off'})).figures
				: undefined,
		};
	},
});

const measure = async (
	opts: Opts,
	deployment: Deployment,
	options: {seed: number; scale: number; admission: 'on' | 'off'},
) => {
	const {triggerFromMs, triggerToMs, endMs} = timeline;
	const isTriggered = (ms: number) => ms >= triggerFromMs && ms < triggerToMs;
	const {baseLoad, triggerLoad = baseLoad, shareFactor} = opts;
	const outcome = await runExperiment({
		...options,
		deployment,
		durationMs: endMs,
		loadAt: ms => (isTriggered(ms) ? triggerLoad : baseLoad),
		shareAt: shareFactor
			? (job, ms) => job.share * (isTriggered(ms) ? shareFactor(job) : 1)
			: undefined,
		maxTries: opts.maxTries,
		retryDelayMs: opts.retryDelayMs,
		coldRequests: opts.coldRequests,
		actions: opts.actions,
		unmeasuredLoads: opts.unmeasuredLoads,
	});
	const measurements = measurementsOf(outcome, deployment);
	const {doubles, falseNotRun, wrong, wasted, runs} = outcome;
	return {
		figures: {
			capacityPerSecond: Math.round(measurements.capacity),
			duringAll: measurements.all,
			...withPrefix('during', measurements.during),
			...withPrefix('after', measurements.after),
			goodputOfCapacity: Number(
				(measurements.all.goodPerSecond / measurements.capacity).toFixed(3),
			),
			recoveryMs: measurements.recoveryMs,
			amplification: measurements.amplification,
			faults: countFaults(outcome.shots),
			wastedShare: Number((wasted / Math.max(1, runs + wasted)).toFixed(4)),
			doubles,
			falseNotRun,
			wrong,
			lagP99Ms: Number(outcome.lagP99Ms.toFixed(1)),
		},
		bounds: {
			...opts.bounds(measurements),
			'doubles = 0': doubles === 0,
			'falseNotRun = 0': falseNotRun === 0,
			'wrong = 0': wrong === 0,
		},
	};
};

const measurementsOf = (
	outcome: Awaited<ReturnType<typeof runExperiment>>,
	deployment: Deployment,
): Measurements => {
	const {shots, capacity, runs} = outcome;
	const {beforeFromMs, triggerFromMs, triggerToMs, endMs} = timeline;
	const byRank = (fromMs: number, toMs: number): Record<string, Summary> =>
		Object.fromEntries(
			[...new Set(deployment.jobs.map(({rank}) => rank))].map(rank => [
				rank,
				summarize(
					shots.filter(shot => shot.rank === rank),
					fromMs,
					toMs,
				),
			]),
		);
	return {
		capacity,
		all: summarize(shots, triggerFromMs, triggerToMs),
		during: byRank(triggerFromMs, triggerToMs),
		after: byRank(triggerToMs, endMs),
		recoveryMs: recoveryTime(shots, {
			beforeFromMs,
			beforeToMs: triggerFromMs,
			triggerEndMs: triggerToMs,
			endMs,
		}),
		amplification: Number((runs / Math.max(1, requiredCalls(shots, deployment))).toFixed(3)),
	};
};

/** Upstream calls that the requests need if each runs exactly once and to its end. */
const requiredCalls = (shots: readonly RequestResult[], deployment: Deployment): number => {
	const lengths = new Map(deployment.jobs.map(({name, chain}) => [name, chain.length + 1]));
	return shots.reduce((sum, {job}) => sum + (lengths.get(job) ?? 1), 0);
};

const withPrefix = (prefix: string, byRank: Readonly<Record<string, Summary>>) =>
	Object.fromEntries(
		Object.entries(byRank).map(([rank, summary]) => [`${prefix} ${rank}`, summary]),
	);
