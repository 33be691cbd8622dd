import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const coldRequests = 100;
const wantedUrgent = 0.99;

/** Upstreams that need some requests until they are warm, one of which restarts in mid-run. */
export const coldStart = overloadScenario({
	name: 'cold-start',
	about: 'upstreams are slow at first, and one of each service restarts cold',
	quiet: 0.5,
	coldRequests,
	acts: [
		{
			atMs: timeline.triggerFromMs,
			async act(fleet) {
				const services = [...new Set(fleet.hosts.map(({service}) => service))];
				await Promise.all(services.map(async service => fleet.crash(fleet.hostsOf(service)[0]!)));
			},
		},
	],
	bounds: ({after}) => ({'urgent good after >= 0.99': after.critical!.goodShare >= wantedUrgent}),
});
