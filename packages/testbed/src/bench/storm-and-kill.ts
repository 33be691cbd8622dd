import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** A pair of faults: demand surges and callers retry hard while a host is killed. */
export const stormAndKill = overloadScenario({
	name: 'storm-and-kill',
	about: 'twice the capacity, callers that retry hard, and a host that is killed',
	quiet: 0.4,
	trigger: 2,
	maxTries: 4,
	retryDelayMs: 30,
	acts: [
		{
			atMs: timeline.triggerFromMs + 1000,
			async act(fleet) {
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.leave(host);
				await Promise.all([host.node.end(), host.upstream.end()]);
			},
		},
	],
	bounds: ({recoveryMs}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
