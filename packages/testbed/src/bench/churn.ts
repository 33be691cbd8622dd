import type {Swarm} from '../deploy/swarm.js';
import {bySize} from './by-size.js';
import {sectionText} from './section-text.js';

const rackShare = 0.3;
const settleLimitMs = 30_000;
const maxDetectMs = 10_000;
const maxSpreadMs = 4000;

/** A rack fails at once, hosts are restarted one after another, and changes keep coming. */
export const churn = bySize({
	name: 'churn',
	about: 'a rack of a third of a data centre fails at once, hosts restart in turn under changes',
	async measure(swarm) {
		const dc1 = swarm.places.filter(({dataCentre}) => dataCentre === 'dc1');
		const rack = dc1.slice(0, Math.round(dc1.length * rackShare));
		const killMs = swarm.clock.monotonic();
		await Promise.all(rack.map(async place => swarm.end(place, 'kill')));
		await swarm.settle(settleLimitMs);
		const detectMs = swarm.clock.monotonic() - killMs;
		const slowestMs = await restartAll(swarm);
		const joinMs = swarm.clock.monotonic();
		await Promise.all(rack.map(async place => swarm.restart(place)));
		await swarm.settle(settleLimitMs);
		const rejoinMs = swarm.clock.monotonic() - joinMs;
		const events = await swarm.events();
		return {
			figures: {
				nodes: swarm.places.length,
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

/** Restarts hosts in turn, with a change after each; resolves with the slowest change. */
const restartAll = async (swarm: Swarm): Promise<number> => {
	const places = swarm.places
		.filter(({dataCentre, isUp}) => dataCentre !== 'dc1' && isUp)
		.slice(0, 20);
	let slowestMs = 0;
	for (const [index, place] of places.entries()) {
		await swarm.end(place, 'stop');
		await swarm.restart(place);
		if (index % 4 === 0) {
			const name = `service-${index}`;
			const startMs = swarm.clock.monotonic();
			const at = swarm.places.find(({isUp}) => isUp)!;
			const text = sectionText(name, index);
			await swarm.put(at, {name, text, expectedVersion: 0, changeId: name});
			await swarm.untilHeld(name, 1, settleLimitMs);
			slowestMs = Math.max(slowestMs, swarm.clock.monotonic() - startMs);
		}
	}

	return slowestMs;
};
