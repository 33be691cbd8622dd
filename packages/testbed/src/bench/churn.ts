import type {Swarm} from '../deploy/swarm.js';
import {multiSizeScenario} from './multi-size-scenario.js';
import {sectionText} from './section-text.js';

const rackShare = 0.3;
const settleTimeoutMs = 30_000;
const maxDetectMs = 10_000;
const maxSpreadMs = 4000;

/** A whole rack fails, then hosts restart one after another while policy changes are made. */
export const churn = multiSizeScenario({
	name: 'churn',
	description:
		'a rack (a third of a data centre) fails at once, then hosts restart in turn under changes',
	async measure(swarm) {
		const dc1 = swarm.nodes.filter(({dataCentre}) => dataCentre === 'dc1');
		const rack = dc1.slice(0, Math.round(dc1.length * rackShare));
		const killStartMs = swarm.clock.monotonic();
		await Promise.all(rack.map(async place => swarm.end(place, 'kill')));
		await swarm.waitForDiscovery(settleTimeoutMs);
		const detectMs = swarm.clock.monotonic() - killStartMs;
		const slowestMs = await restartInTurn(swarm);
		const rejoinStartMs = swarm.clock.monotonic();
		await Promise.all(rack.map(async place => swarm.restart(place)));
		await swarm.waitForDiscovery(settleTimeoutMs);
		const rejoinMs = swarm.clock.monotonic() - rejoinStartMs;
		const events = await swarm.events();
		return {
			figures: {
				nodes: swarm.nodes.length,
				rackGoneEverywhereMs: Math.round(detectMs),
				slowestChangeMs: Math.round(slowestMs),
				rackBackEverywhereMs: Math.round(rejoinMs),
				refutations: events.MS3004 ?? 0,
			},
			bounds: {
				'rack gone everywhere <= 10 s': detectMs <= maxDetectMs,
				'change in force <= 4 s': slowestMs <= maxSpreadMs,
				'rack back everywhere <= 10 s': rejoinMs <= maxDetectMs,
			},
		};
	},
});

/**
 * Restarts up to 20 hosts in turn, with a policy change after every fourth; resolves with the
 * longest time, in milliseconds, until a change was in force at every node.
 */
const restartInTurn = async (swarm: Swarm): Promise<number> => {
	const places = swarm.nodes
		.filter(({dataCentre, isUp}) => dataCentre !== 'dc1' && isUp)
		.slice(0, 20);
	let slowestMs = 0;
	for (const [index, place] of places.entries()) {
		await swarm.end(place, 'stop');
		await swarm.restart(place);
		if (index % 4 === 0) {
			const name = `service-${index}`;
			const startMs = swarm.clock.monotonic();
			const target = swarm.nodes.find(({isUp}) => isUp)!;
			const text = sectionText(name, index);
			await swarm.put(target, {name, text, expectedVersion: 0, changeId: name});
			await swarm.waitUntilHeld(name, 1, settleTimeoutMs);
			slowestMs = Math.max(slowestMs, swarm.clock.monotonic() - startMs);
		}
	}

	return slowestMs;
};
