import {overloadScenario} from './overload-scenario.js';

const minGoodputShare = 0.9;
const maxRecoveryMs = 5000;

/** Three times the capacity, with the usual mix of work. */
export const surge = overloadScenario({
	name: 'surge',
	description: 'three times the capacity of every kind of work for 5 s',
	baseLoad: 0.5,
	triggerLoad: 3,
	bounds: ({all, capacity, recoveryMs}) => ({
		'goodput >= 0.9 of capacity': all.goodPerSecond >= minGoodputShare * capacity,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
