import {overloadScenario} from './overload-scenario.js';
import {slowAct} from './slow-act.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** A pair of faults: the least urgent work floods in while a deep service is slow. */
export const floodAndSlow = overloadScenario({
	name: 'flood-and-slow',
	about: 'a flood of the least urgent work while the service at the end of the chains is slow',
	quiet: 0.4,
	trigger: 2,
	weigh: ({rank}) => (rank === 'background' ? 8 : 1),
	acts: [
		{atMs: timeline.triggerFromMs, act: slowAct(3)},
		{atMs: timeline.triggerToMs, act: slowAct(1)},
	],
	bounds: ({during, recoveryMs}) => ({
		'urgent good >= 0.99': during.critical!.goodShare >= 0.99,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
