import {multiSizeScenario} from './multi-size-scenario.js';
import {sectionText} from './section-text.js';

const rounds = 12;
const operators = 6;
const timeoutMs = 20_000;
const section = 'service-1';

/** Operators put conflicting changes at the same time while the store loses and delays answers. */
export const race = multiSizeScenario({
	name: 'race',
	description: 'six operators put conflicting changes at once; the store loses answers and is slow',
	async measure(swarm) {
		let [version, accepted, conflicts, unavailable, sharedVersions] = [0, 0, 0, 0, 0];
		for (let round = 0; round < rounds; round++) {
			const expectedVersion = version;
			await swarm.setPlatformFaults({loseAnswers: round % 3, delayMs: round % 4 === 0 ? 50 : 0});
			const replies = await Promise.all(
				Array.from({length: operators}, async (_operator, index) =>
					swarm.put(swarm.nodes[(index * 3) % swarm.nodes.length]!, {
						name: section,
						text: sectionText(section, round * operators + index),
						expectedVersion,
						changeId: `round-${round}-operator-${index}`,
					}),
				),
			);
			const versions = replies.filter(reply => typeof reply === 'number');
			accepted += versions.length;
			conflicts += replies.filter(reply => reply === 'conflict').length;
			unavailable += replies.filter(reply => reply === 'store-unavailable').length;
			sharedVersions += versions.length - new Set(versions).size;
			version += versions.length;
			await swarm.waitUntilHeld(section, version, timeoutMs);
		}

		const states = await swarm.state(section);
		return {
			figures: {rounds, operators, accepted, conflicts, unavailable, finalVersion: version},
			bounds: {
				'one change wins each round': accepted === rounds,
				'no two accepted changes share a version': sharedVersions === 0,
				'every node has the last version': states.every(state => state.version === version),
				'losers are told of the conflict': conflicts + unavailable === rounds * (operators - 1),
			},
		};
	},
});
