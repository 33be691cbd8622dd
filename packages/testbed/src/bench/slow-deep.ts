import {overloadScenario} from './overload-scenario.js';
import {slowAct} from './slow-act.js';
import {timeline} from './timeline.js';

const slowFactor = 3;
const maxRecoveryMs = 5000;

/** A service at the end of the chains becomes three times slower. */
export const slowDeep = overloadScenario({
	name: 'slow-deep',
	about: 'the service at the end of the chains is three times slower for 5 s',
	quiet: 0.6,
	acts: [
		{atMs: timeline.triggerFromMs, act: slowAct(slowFactor)},
		{atMs: timeline.triggerToMs, act: slowAct(1)},
	],
	bounds: ({during, recoveryMs}) => ({
		'urgent good >= 0.99': during.critical!.goodShare >= 0.99,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
