import type {Shot} from '../callers/shot.js';
import type {Deployment} from '../deploy/deployment.js';
import type {Fleet} from '../deploy/fleet.js';
import {countFaults} from './count-faults.js';
import {experiment} from './experiment.js';
import {recovery} from './recovery.js';
import type {Scenario} from './scenario.js';
import {summarize} from './summarize.js';
import {timeline} from './timeline.js';

type Job = Deployment['jobs'][number];
type Summary = ReturnType<typeof summarize>;

type Plan = {
	readonly name: string;
	readonly about: string;
	/** Load as a multiple of the capacity, outside of the trigger and during it. */
	readonly quiet: number;
	readonly trigger?: number;
	/** Factor on the share of a job during the trigger. */
	readonly weigh?: (job: Job) => number;
	readonly maxTries?: number;
	readonly retryDelayMs?: number;
	readonly coldRequests?: number;
	readonly acts?: ReadonlyArray<{readonly atMs: number; act(fleet: Fleet): Promise<void>}>;
	readonly others?: (fleet: Fleet) => ReadonlyArray<Promise<unknown>>;
	/** Bounds beside those that always hold. */
	readonly bounds: (view: View) => Record<string, boolean>;
};

/** What the bounds of a scenario are judged by. */
type View = {
	readonly capacity: number;
	readonly all: Summary;
	readonly during: Readonly<Record<string, Summary>>;
	readonly after: Readonly<Record<string, Summary>>;
	readonly recoveryMs: number;
	readonly amplification: number;
};

/**
 * Builds a scenario that has a quiet time, a trigger and a time to recover, with the same load for
 * the system and for its baseline, in which every limit is off.
 *
 * @example
 * const surge = overloadScenario({name: 'surge', about, quiet: 0.5, trigger: 3, bounds});
 */
export const overloadScenario = (plan: Plan): Scenario => ({
	name: plan.name,
	about: plan.about,
	async run({deployment, seed, scale, hasBaseline}) {
		const {figures, bounds} = await measure(plan, deployment, {seed, scale, admission: 'on'});
		return {
			figures,
			bounds,
			baselineFigures: hasBaseline
				? (await measure(plan, deployment, {seed, scale, admission: 'off'})).figures
				: undefined,
		};
	},
});

const measure = async (
	plan: Plan,
	deployment: Deployment,
	options: {seed: number; scale: number; admission: 'on' | 'off'},
) => {
	const {triggerFromMs, triggerToMs, endMs} = timeline;
	const isTriggered = (ms: number) => ms >= triggerFromMs && ms < triggerToMs;
	const {quiet, trigger = quiet, weigh} = plan;
	const outcome = await experiment({
		...options,
		deployment,
		durationMs: endMs,
		loadAt: ms => (isTriggered(ms) ? trigger : quiet),
		shareAt: weigh ? (job, ms) => job.share * (isTriggered(ms) ? weigh(job) : 1) : undefined,
		maxTries: plan.maxTries,
		retryDelayMs: plan.retryDelayMs,
		coldRequests: plan.coldRequests,
		acts: plan.acts,
		others: plan.others,
	});
	const view = viewOf(outcome, deployment);
	const {doubles, falseNotRun, wrong, wasted, runs} = outcome;
	return {
		figures: {
			capacityPerSecond: Math.round(view.capacity),
			duringAll: view.all,
			...prefixed('during', view.during),
			...prefixed('after', view.after),
			goodputOfCapacity: Number((view.all.goodPerSecond / view.capacity).toFixed(3)),
			recoveryMs: view.recoveryMs,
			amplification: view.amplification,
			faults: countFaults(outcome.shots),
			wastedShare: Number((wasted / Math.max(1, runs + wasted)).toFixed(4)),
			doubles,
			falseNotRun,
			wrong,
			lagP99Ms: Number(outcome.lagP99Ms.toFixed(1)),
		},
		bounds: {
			...plan.bounds(view),
			'doubles = 0': doubles === 0,
			'falseNotRun = 0': falseNotRun === 0,
			'wrong = 0': wrong === 0,
		},
	};
};

const viewOf = (outcome: Awaited<ReturnType<typeof experiment>>, deployment: Deployment): View => {
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
		recoveryMs: recovery(shots, {
			beforeFromMs,
			beforeToMs: triggerFromMs,
			triggerEndMs: triggerToMs,
			endMs,
		}),
		amplification: Number((runs / Math.max(1, callsOf(shots, deployment))).toFixed(3)),
	};
};

/** Upstream calls that the requests would have needed if each had run once in whole. */
const callsOf = (shots: readonly Shot[], deployment: Deployment): number => {
	const lengths = new Map(deployment.jobs.map(({name, chain}) => [name, chain.length + 1]));
	return shots.reduce((sum, {job}) => sum + (lengths.get(job) ?? 1), 0);
};

const prefixed = (prefix: string, byRank: Readonly<Record<string, Summary>>) =>
	Object.fromEntries(
		Object.entries(byRank).map(([rank, summary]) => [`${prefix} ${rank}`, summary]),
	);
