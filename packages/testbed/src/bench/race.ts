import {bySize} from './by-size.js';
import {sectionText} from './section-text.js';

const rounds = 12;
const operators = 6;
const limitMs = 20_000;
const section = 'service-1';

/** Operators race each other with conflicting changes while the store loses and delays answers. */
export const race = bySize({
	name: 'race',
	about: 'six operators put conflicting changes at once; the store loses answers and is slow',
	async measure(swarm) {
		let [version, accepted, conflicts, unavailable, shared] = [0, 0, 0, 0, 0];
		for (let round = 0; round < rounds; round++) {
			const expectedVersion = version;
			await swarm.faultPlatform({loseAnswers: round % 3, delayMs: round % 4 === 0 ? 50 : 0});
			const replies = await Promise.all(
				Array.from({length: operators}, async (_operator, index) =>
					swarm.put(swarm.places[(index * 3) % swarm.places.length]!, {
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
			shared += versions.length - new Set(versions).size;
			version += versions.length;
			await swarm.untilHeld(section, version, limitMs);
		}

		const states = await swarm.state(section);
		return {
			figures: {rounds, operators, accepted, conflicts, unavailable, finalVersion: version},
			bounds: {
				'one change wins each round': accepted === rounds,
				'no two accepted changes share a version': shared === 0,
				'every node has the last version': states.every(state => state.version === version),
				'losers are told of the conflict': conflicts + unavailable === rounds * (operators - 1),
			},
		};
	},
});
