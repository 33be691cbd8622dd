import {overloadScenario} from './overload-scenario.js';

const hardTries = 6;
const maxRecoveryMs = 5000;

/** Retries that the policies allow one request, at the most. */
const maxAllowance = 3;

/** Demand beyond capacity, and callers that send again at once and often. */
export const retryStorm = overloadScenario({
	name: 'retry-storm',
	about: 'twice the capacity for 5 s, and callers that retry hard',
	quiet: 0.5,
	trigger: 2,
	maxTries: hardTries,
	retryDelayMs: 20,
	bounds: ({recoveryMs, amplification}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
		'amplification <= 1 + allowance': amplification <= 1 + maxAllowance,
	}),
});
