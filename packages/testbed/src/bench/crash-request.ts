import {createSystemClock} from '@medlarsaddle/core';
import {Load} from '../callers/load.js';
import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const poisonSeed = 777;
const maxCrashes = 2;
let crashesSeen = 0;

/** One request crashes every upstream that runs it, and its caller keeps sending it. */
export const crashRequest = overloadScenario({
	name: 'crash-request',
	about: 'one request crashes each upstream that runs it and is sent again and again',
	quiet: 0.4,
	others(fleet) {
		const job = fleet.opts.deployment.jobs.find(({chain, keyed}) => chain.length === 0 && !keyed)!;
		return [
			Load.run({
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
	acts: [
		{
			atMs: timeline.endMs,
			async act(fleet) {
				crashesSeen = await fleet.crashes();
			},
		},
	],
	bounds: ({during, after}) => ({
		[`crashes <= ${maxCrashes} a data centre`]: crashesSeen <= maxCrashes * 3,
		'urgent good during >= 0.98': during.critical!.goodShare >= 0.98,
		'urgent good after >= 0.999': after.critical!.goodShare >= 0.999,
	}),
});
