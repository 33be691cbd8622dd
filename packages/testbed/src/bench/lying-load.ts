import {overloadScenario} from './overload-scenario.js';

const falseSlots = 500;
const minUrgentGoodShare = 0.999;

/** One upstream of each service reports far more slots than it has, and always good health. */
export const lyingLoad = overloadScenario({
	name: 'lying-load',
	description: 'one upstream of each service reports far more slots than it has',
	baseLoad: 0.5,
	triggerLoad: 1.5,
	shareFactor: ({rank}) => (rank === 'background' ? 2 : 1),
	actions: [
		{
			atMs: 0,
			async run(fleet) {
				const services = new Set(fleet.hosts.map(({service}) => service));
				for (const service of services) {
					const [first] = fleet.hostsOf(service);
					await fleet.setUpstreamFaults(first!, {reportedSlots: falseSlots, healthLies: true});
				}
			},
		},
	],
	bounds: ({during}) => ({
		'urgent good >= 0.999': during.critical!.goodShare >= minUrgentGoodShare,
	}),
});
