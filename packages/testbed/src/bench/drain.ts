import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

/** One host shuts down gracefully under load. */
export const drain = overloadScenario({
	name: 'drain',
	description: 'one host shuts down gracefully under load; no request in flight is cut off',
	baseLoad: 0.4,
	actions: [
		{
			atMs: timeline.triggerFromMs,
			async run(fleet) {
				// The first service has another host in this data centre, which takes over.
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.stopTraffic(host);
				await host.node.end('SIGTERM');
			},
		},
	],
	bounds: ({all, after}) => ({
		'unknown = 0': all.unknown === 0,
		'failed = 0': all.failed === 0,
		'good after >= 0.999': after.critical!.goodShare >= 0.999,
	}),
});
