import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** Two faults at once: a surge with aggressive retries while a host is killed. */
export const stormAndKill = overloadScenario({
	name: 'storm-and-kill',
	description: 'twice the capacity, callers that retry aggressively, and a host that is killed',
	baseLoad: 0.4,
	triggerLoad: 2,
	maxTries: 4,
	retryDelayMs: 30,
	actions: [
		{
			atMs: timeline.triggerFromMs + 1000,
			async run(fleet) {
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.stopTraffic(host);
				await Promise.all([host.node.end(), host.upstream.end()]);
			},
		},
	],
	bounds: ({recoveryMs}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
