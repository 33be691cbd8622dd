import {overloadScenario} from './overload-scenario.js';

const triesPerRequest = 6;
const maxRecoveryMs = 5000;

/** Most retries that the policies allow one request. */
const maxRetriesPerRequest = 3;

/** Demand beyond the capacity, from callers that retry many times with little delay. */
export const retryStorm = overloadScenario({
	name: 'retry-storm',
	description: 'twice the capacity for 5 s, and callers that retry aggressively',
	baseLoad: 0.5,
	triggerLoad: 2,
	maxTries: triesPerRequest,
	retryDelayMs: 20,
	bounds: ({recoveryMs, amplification}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
		'amplification <= 1 + allowance': amplification <= 1 + maxRetriesPerRequest,
	}),
});
