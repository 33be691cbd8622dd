import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const coldRequests = 100;
const minUrgentGoodShare = 0.99;

/** Upstreams are slow for their first requests, and one of each service restarts during the run. */
export const coldStart = overloadScenario({
	name: 'cold-start',
	description: 'upstreams are slow at first, and one of each service restarts cold',
	baseLoad: 0.5,
	coldRequests,
	actions: [
		{
			atMs: timeline.triggerFromMs,
			async run(fleet) {
				const services = [...new Set(fleet.hosts.map(({service}) => service))];
				await Promise.all(
					services.map(async service => fleet.crashUpstream(fleet.hostsOf(service)[0]!)),
				);
			},
		},
	],
	bounds: ({after}) => ({
		'urgent good after >= 0.99': after.critical!.goodShare >= minUrgentGoodShare,
	}),
});
