import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const minUrgentGoodShare = 0.99;
const maxRecoveryMs = 5000;

/** Every open connection to the upstreams stops answering for good, while new connections work. */
export const silentConnections = overloadScenario({
	name: 'silent-connections',
	description: 'open connections to every upstream stop answering for good; new ones work',
	baseLoad: 0.4,
	actions: [
		{
			atMs: timeline.triggerFromMs,
			async run(fleet) {
				await Promise.all(
					fleet.hosts.map(async host => fleet.setUpstreamFaults(host, {silencesConnections: true})),
				);
			},
		},
	],
	bounds: ({during, after, recoveryMs}) => ({
		'urgent good during >= 0.9': during.critical!.goodShare >= 0.9,
		'urgent good after >= 0.99': after.critical!.goodShare >= minUrgentGoodShare,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
