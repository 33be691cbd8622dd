import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** A node and its upstream are killed together and restarted later. */
export const kill = overloadScenario({
	name: 'kill',
	description: 'one node and its upstream are killed and restarted',
	baseLoad: 0.4,
	actions: [
		{
			atMs: timeline.triggerFromMs,
			async run(fleet) {
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.stopTraffic(host);
				await Promise.all([host.node.end(), host.upstream.end()]);
			},
		},
		{
			atMs: timeline.triggerToMs,
			async run(fleet) {
				const host = fleet.hostsWithoutTraffic[0]!;
				await fleet.restartHost(host);
				fleet.resumeTraffic(host);
			},
		},
	],
	bounds: ({recoveryMs, after}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
		'urgent good after >= 0.99': after.critical!.goodShare >= 0.99,
	}),
});
