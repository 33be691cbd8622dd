import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const maxRecoveryMs = 5000;

/** A node and its upstream are killed at once, and come back later. */
export const kill = overloadScenario({
	name: 'kill',
	about: 'one node and its upstream are killed and replaced',
	quiet: 0.4,
	acts: [
		{
			atMs: timeline.triggerFromMs,
			async act(fleet) {
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.leave(host);
				await Promise.all([host.node.end(), host.upstream.end()]);
			},
		},
		{
			atMs: timeline.triggerToMs,
			async act(fleet) {
				const host = fleet.gone[0]!;
				await fleet.restartHost(host);
				fleet.enter(host);
			},
		},
	],
	bounds: ({recoveryMs, after}) => ({
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
		'urgent good after >= 0.99': after.critical!.goodShare >= 0.99,
	}),
});
