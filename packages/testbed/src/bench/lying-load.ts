import {overloadScenario} from './overload-scenario.js';

const liedSlots = 500;
const wantedUrgent = 0.999;

/** One upstream of each service reports many times the slots it has, and a health that is always good. */
export const lyingLoad = overloadScenario({
	name: 'lying-load',
	about: 'one upstream of each service reports far more slots than it has',
	quiet: 0.5,
	trigger: 1.5,
	weigh: ({rank}) => (rank === 'background' ? 2 : 1),
	acts: [
		{
			atMs: 0,
			async act(fleet) {
				const services = new Set(fleet.hosts.map(({service}) => service));
				for (const service of services) {
					const [first] = fleet.hostsOf(service);
					await fleet.fault(first!, {reportedSlots: liedSlots, healthLies: true});
				}
			},
		},
	],
	bounds: ({during}) => ({'urgent good >= 0.999': during.critical!.goodShare >= wantedUrgent}),
});
