import {overloadScenario} from './overload-scenario.js';
import {timeline} from './timeline.js';

const wantedUrgent = 0.99;
const maxRecoveryMs = 5000;

/** Every open connection to the upstreams goes silent for good, while new ones work. */
export const silentConnections = overloadScenario({
	name: 'silent-connections',
	about: 'open connections to every upstream go silent for good; new ones work',
	quiet: 0.4,
	acts: [
		{
			atMs: timeline.triggerFromMs,
			async act(fleet) {
				await Promise.all(
					fleet.hosts.map(async host => fleet.fault(host, {silencesConnections: true})),
				);
			},
		},
	],
	bounds: ({during, after, recoveryMs}) => ({
		'urgent good during >= 0.9': during.critical!.goodShare >= 0.9,
		'urgent good after >= 0.99': after.critical!.goodShare >= wantedUrgent,
		'recovery <= 5 s': recoveryMs >= 0 && recoveryMs <= maxRecoveryMs,
	}),
});
