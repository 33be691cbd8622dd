import {overloadScenario} from './overload-scenario.js';

const floodFactor = 8;
const keptOfFloor = 0.05;
const maxRecoveryMs = 5000;

/** The most urgent work comes in at several times what the fleet can take. */
export const floodUrgent = overloadScenario({
	name: 'flood-urgent',
	about: 'a flood of the most urgent work; the other work keeps its floor',
	quiet: 0.4,
	trigger: 2,
	weigh: ({rank}) => (rank === 'critical' ? floodFactor : 1),
	bounds: ({during, capacity, recoveryMs}) => ({
		'background good >= its floor': during.background!.goodPerSecond >= keptOfFloor * capacity,
		'urgent goodput > 0': during.critical!.good > 0,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
