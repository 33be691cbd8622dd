import {createRandom} from '@medlarsaddle/core';
import {fixedRandom} from '../overlay/fixed-random.js';
import {fullView} from '../overlay/full-view.js';
import {largestComponent} from '../overlay/largest-component.js';
import {pointerPushPull} from '../overlay/pointer-push-pull.js';
import {ringWithFingers} from '../overlay/ring-with-fingers.js';
import {simulateRumor} from '../overlay/simulate-rumor.js';
import type {Scenario} from './scenario.js';

const members = 938;
const rackSize = 40;
const failedShare = 0.3;
const runs = 5;
const topologies = [fullView, fixedRandom, pointerPushPull, ringWithFingers];

/** Simulates overlay networks between the members of a data centre at the planned size. */
export const overlay: Scenario = {
	name: 'overlay',
	description:
		'overlays of 938 members: connectivity after failures, rounds and messages of a rumor',
	async run({seed}) {
		const figures: Record<string, Record<string, number>> = {};
		for (const topology of topologies) {
			const sums: Record<string, number> = {};
			for (let run = 0; run < runs; run++) {
				const random = createRandom(seed + run);
				const edges = topology.build(members, random);
				const failed = new Set(
					Array.from({length: members}, (_member, member) => member).filter(
						() => random.next() < failedShare,
					),
				);
				const isUp = (member: number) => !failed.has(member);
				const isOutsideRack = (member: number) => member >= rackSize;
				const intact = simulateRumor(edges, () => true, random);
				const degraded = simulateRumor(edges, isUp, random);
				const measured = {
					neighbours: edges[0]!.length,
					connectedWithoutRack: largestComponent(edges, isOutsideRack),
					connectedWithout30Percent: largestComponent(edges, isUp),
					rounds: intact.rounds,
					quietRounds: intact.quietRounds,
					messagesPerMember: intact.messages / members,
					reached: intact.reached,
					roundsWithout30Percent: degraded.rounds,
					reachedWithout30Percent: degraded.reached,
				};
				for (const [name, value] of Object.entries(measured)) {
					sums[name] = (sums[name] ?? 0) + value / runs;
				}
			}

			figures[topology.name] = Object.fromEntries(
				Object.entries(sums).map(([name, value]) => [name, Number(value.toFixed(4))]),
			);
		}

		return {
			figures,
			bounds: {'the chosen way reaches all': figures.fullView!.reached === 1},
		};
	},
};
