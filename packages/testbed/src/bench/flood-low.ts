import {overloadScenario} from './overload-scenario.js';

const floodFactor = 12;
const minUrgentGoodShare = 0.999;
const maxRecoveryMs = 5000;

/** The least urgent work arrives at several times the capacity of the fleet. */
export const floodLow = overloadScenario({
	name: 'flood-low',
	description: 'a flood of the least urgent work; the urgent work stays constant',
	baseLoad: 0.4,
	triggerLoad: 3,
	shareFactor: ({rank}) => (rank === 'background' ? floodFactor : 1),
	bounds: ({during, recoveryMs}) => ({
		'urgent good >= 0.999': during.critical!.goodShare >= minUrgentGoodShare,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
