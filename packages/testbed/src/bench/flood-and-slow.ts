import {overloadScenario} from './overload-scenario.js';
import {slowDeepServices} from './slow-deep-services.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** Two faults at once: a flood of the least urgent work while a deep service is slow. */
export const floodAndSlow = overloadScenario({
	name: 'flood-and-slow',
	description:
		'a flood of the least urgent work while the service at the end of the call chains is slow',
	baseLoad: 0.4,
	triggerLoad: 2,
	shareFactor: ({rank}) => (rank === 'background' ? 8 : 1),
	actions: [
		{atMs: timeline.triggerFromMs, run: slowDeepServices(3)},
		{atMs: timeline.triggerToMs, run: slowDeepServices(1)},
	],
	bounds: ({during, recoveryMs}) => ({
		'urgent good >= 0.99': during.critical!.goodShare >= 0.99,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
