import {overloadScenario} from './overload-scenario.js';

const floodFactor = 12;
const wantedUrgent = 0.999;
const maxRecoveryMs = 5000;

/** The least urgent work comes in at several times what the fleet can take. */
export const floodLow = overloadScenario({
	name: 'flood-low',
	about: 'a flood of the least urgent work; the urgent work stays as it was',
	quiet: 0.4,
	trigger: 3,
	weigh: ({rank}) => (rank === 'background' ? floodFactor : 1),
	bounds: ({during, recoveryMs}) => ({
		'urgent good >= 0.999': during.critical!.goodShare >= wantedUrgent,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
