import type {Deployment} from '../deploy/deployment.js';
import {countFaults} from './count-faults.js';
import {runExperiment} from './run-experiment.js';
import type {Scenario} from './scenario.js';
import {summarize} from './summarize.js';

const durationMs = 8000;
const warmUpMs = 2000;
const steadyLoad = 0.5;

/** Half of the capacity for some seconds, without faults: the cost of normal operation. */
export const steady: Scenario = {
	name: 'steady',
	description: 'half of the capacity, no faults',
	async run({deployment, seed, scale, hasBaseline}) {
		const measure = async (admission: 'on' | 'off') => {
			const outcome = await runExperiment({
				deployment,
				seed,
				scale,
				admission,
				durationMs,
				loadAt: () => steadyLoad,
			});
			return {outcome, figures: figuresOf(outcome, deployment)};
		};

		const {outcome, figures} = await measure('on');
		const urgent = summarize(
			outcome.shots.filter(({rank}) => rank === 'critical'),
			warmUpMs,
			durationMs,
		);
		return {
			figures,
			bounds: {
				'urgent goodShare >= 0.999': urgent.goodShare >= 0.999,
				'control <= 6144 B/s a node': outcome.controlBytesPerSecond <= 6144,
				'doubles = 0': outcome.doubles === 0,
				'falseNotRun = 0': outcome.falseNotRun === 0,
				'wrong = 0': outcome.wrong === 0,
			},
			baselineFigures: hasBaseline ? (await measure('off')).figures : undefined,
		};
	},
};

const figuresOf = (outcome: Awaited<ReturnType<typeof runExperiment>>, deployment: Deployment) => {
	const ranks = [...new Set(deployment.jobs.map(({rank}) => rank))];
	return {
		capacityPerSecond: Math.round(outcome.capacity),
		...Object.fromEntries(
			ranks.map(rank => [
				rank,
				summarize(
					outcome.shots.filter(shot => shot.rank === rank),
					warmUpMs,
					durationMs,
				),
			]),
		),
		nodeCpuShare: Number(outcome.nodeCpuShare.toFixed(4)),
		nodeRssMb: Number(outcome.nodeRssMb.toFixed(1)),
		controlBytesPerSecond: Math.round(outcome.controlBytesPerSecond),
		lagP99Ms: Number(outcome.lagP99Ms.toFixed(2)),
		doubles: outcome.doubles,
		falseNotRun: outcome.falseNotRun,
		wrong: outcome.wrong,
		faults: countFaults(outcome.shots),
		platformCalls: outcome.platformCalls,
	};
};
