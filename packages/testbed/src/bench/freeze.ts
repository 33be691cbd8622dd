import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** A node is paused with work in flight, longer than its lease, and wakes again. */
export const freeze = overloadScenario({
	name: 'freeze',
	about: 'one node is paused for 5 s with work in flight and wakes again',
	quiet: 0.4,
	acts: [
		{
			atMs: timeline.triggerFromMs,
			async act(fleet) {
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.leave(host);
				host.node.signal('SIGSTOP');
			},
		},
		{
			atMs: timeline.triggerToMs,
			async act(fleet) {
				const host = fleet.gone[0]!;
				host.node.signal('SIGCONT');
				fleet.enter(host);
			},
		},
	],
	bounds: ({recoveryMs, after}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
		'urgent good after >= 0.99': after.critical!.goodShare >= 0.99,
	}),
});
