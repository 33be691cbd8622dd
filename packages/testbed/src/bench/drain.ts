import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

/** A host of each service with more than one in its data centre is stopped as planned. */
export const drain = overloadScenario({
	name: 'drain',
	about: 'one host is stopped as planned under load; nothing in flight is cut off',
	quiet: 0.4,
	acts: [
		{
			atMs: timeline.triggerFromMs,
			async act(fleet) {
				// The first service has two hosts in the first data centre, so its work has a place to go.
				const host = fleet.hosts.find(({id}) => id.endsWith('-3'))!;
				fleet.leave(host);
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
