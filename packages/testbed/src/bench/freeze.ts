import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** A node with work in flight is paused for longer than its lease, then resumes. */
export const freeze = overloadScenario({
	name: 'freeze',
	description: 'one node is paused for 5 s with work in flight, then resumes',
	baseLoad: 0.4,
	actions: [
		{
			atMs: timeline.triggerFromMs,
			async run(fleet) {
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.stopTraffic(host);
				host.node.signal('SIGSTOP');
			},
		},
		{
			atMs: timeline.triggerToMs,
			async run(fleet) {
				const host = fleet.hostsWithoutTraffic[0]!;
				host.node.signal('SIGCONT');
				fleet.resumeTraffic(host);
			},
		},
	],
	bounds: ({recoveryMs, after}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
		'urgent good after >= 0.99': after.critical!.goodShare >= 0.99,
	}),
});
