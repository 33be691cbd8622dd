import {createSystemClock} from '@medlarsaddle/core';
import {LoadGenerator} from '../callers/load-generator.js';
import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const poisonSeed = 777;
const maxCrashesPerDataCentre = 2;
let crashCount = 0;

/** One request crashes every upstream that runs it, and its caller sends it repeatedly. */
export const crashRequest = overloadScenario({
	name: 'crash-request',
	description: 'one request crashes each upstream that runs it and is sent repeatedly',
	baseLoad: 0.4,
	unmeasuredLoads(fleet) {
		const job = fleet.opts.deployment.jobs.find(
			({chain, isKeyed: keyed}) => chain.length === 0 && !keyed,
		)!;
		return [
			LoadGenerator.run({
				clock: createSystemClock(),
				seed: poisonSeed,
				urls: () => fleet.callerUrls,
				jobs: [{...job, name: 'poison'}],
				rateAt: ms => (ms > timeline.triggerFromMs ? 2 : 0.001),
				durationMs: timeline.endMs,
				poison: true,
			}),
		];
	},
	actions: [
		{
			atMs: timeline.endMs,
			async run(fleet) {
				crashCount = await fleet.countCrashes();
			},
		},
	],
	bounds: ({during, after}) => ({
		[`crashes <= ${maxCrashesPerDataCentre} a data centre`]:
			crashCount <= maxCrashesPerDataCentre * 3,
		'urgent good during >= 0.98': during.critical!.goodShare >= 0.98,
		'urgent good after >= 0.999': after.critical!.goodShare >= 0.999,
	}),
});
