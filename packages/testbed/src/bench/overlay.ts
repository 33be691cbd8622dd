import {createRandom} from '@medlarsaddle/core';
import {fixedRandom} from '../overlay/fixed-random.js';
import {fullView} from '../overlay/full-view.js';
import {largestComponent} from '../overlay/largest-component.js';
import {pointerPushPull} from '../overlay/pointer-push-pull.js';
import {ringWithFingers} from '../overlay/ring-with-fingers.js';
import {spreadRounds} from '../overlay/spread-rounds.js';
import type {Scenario} from './scenario.js';

const members = 938;
const rackSize = 40;
const lostShare = 0.3;
const runs = 5;
const ways = [fullView, fixedRandom, pointerPushPull, ringWithFingers];

/** Ways to link the members of a data centre at the planned size, by computation. */
export const overlay: Scenario = {
	name: 'overlay',
	about: 'ways to link 938 members: connectivity after losses, rounds and messages of a rumor',
	async run({seed}) {
		const figures: Record<string, Record<string, number>> = {};
		for (const way of ways) {
			const sums: Record<string, number> = {};
			for (let run = 0; run < runs; run++) {
				const random = createRandom(seed + run);
				const edges = way.build(members, random);
				const lost = new Set(
					Array.from({length: members}, (_member, member) => member).filter(
						() => random.next() < lostShare,
					),
				);
				const isUp = (member: number) => !lost.has(member);
				const isOutsideRack = (member: number) => member >= rackSize;
				const whole = spreadRounds(edges, () => true, random);
				const broken = spreadRounds(edges, isUp, random);
				const run1 = {
					neighbours: edges[0]!.length,
					connectedWithoutRack: largestComponent(edges, isOutsideRack),
					connectedWithout30Percent: largestComponent(edges, isUp),
					rounds: whole.rounds,
					quietRounds: whole.quietRounds,
					messagesPerMember: whole.messages / members,
					reached: whole.reached,
					roundsWithout30Percent: broken.rounds,
					reachedWithout30Percent: broken.reached,
				};
				for (const [name, value] of Object.entries(run1)) {
					sums[name] = (sums[name] ?? 0) + value / runs;
				}
			}

			figures[way.name] = Object.fromEntries(
				Object.entries(sums).map(([name, value]) => [name, Number(value.toFixed(4))]),
			);
		}

		return {
			figures,
			bounds: {'the chosen way reaches all': figures.fullView!.reached === 1},
		};
	},
};
