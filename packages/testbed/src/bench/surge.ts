import {overloadScenario} from './overload-scenario.js';

const wantedShare = 0.9;
const maxRecoveryMs = 5000;

/** Three times the capacity, of every kind of work alike. */
export const surge = overloadScenario({
	name: 'surge',
	about: 'three times the capacity of every kind of work for 5 s',
	quiet: 0.5,
	trigger: 3,
	bounds: ({all, capacity, recoveryMs}) => ({
		'goodput >= 0.9 of capacity': all.goodPerSecond >= wantedShare * capacity,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
