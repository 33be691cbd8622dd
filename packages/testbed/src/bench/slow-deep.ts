import {overloadScenario} from './overload-scenario.js';
import {slowDeepServices} from './slow-deep-services.js';
import {timeline} from './timeline.js';

const slowFactor = 3;
const maxRecoveryMs = 5000;

/** A service at the end of the call chains becomes three times slower. */
export const slowDeep = overloadScenario({
	name: 'slow-deep',
	description: 'the service at the end of the call chains is three times slower for 5 s',
	baseLoad: 0.6,
	actions: [
		{atMs: timeline.triggerFromMs, run: slowDeepServices(slowFactor)},
		{atMs: timeline.triggerToMs, run: slowDeepServices(1)},
	],
	bounds: ({during, recoveryMs}) => ({
		'urgent good >= 0.99': during.critical!.goodShare >= 0.99,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
