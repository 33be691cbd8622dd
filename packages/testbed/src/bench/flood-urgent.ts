import {overloadScenario} from './overload-scenario.js';

const floodFactor = 8;
const backgroundFloorShare = 0.05;
const maxRecoveryMs = 5000;

/** The most urgent work arrives at several times the capacity of the fleet. */
export const floodUrgent = overloadScenario({
	name: 'flood-urgent',
	description: 'a flood of the most urgent work; the other work keeps its floor',
	baseLoad: 0.4,
	triggerLoad: 2,
	shareFactor: ({rank}) => (rank === 'critical' ? floodFactor : 1),
	bounds: ({during, capacity, recoveryMs}) => ({
		'background good >= its floor':
			during.background!.goodPerSecond >= backgroundFloorShare * capacity,
		'urgent goodput > 0': during.critical!.good > 0,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
