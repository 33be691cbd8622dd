import {setTimeout as delay} from 'node:timers/promises';
import type {Swarm} from '../deploy/swarm.js';
import {bySize} from './by-size.js';
import {sectionText} from './section-text.js';

const cutMs = 6000;
const limitMs = 20_000;
const maxSpreadMs = 4000;
const section = 'service-1';

/** One data centre loses the platform, then the others too, and comes back. */
export const cut = bySize({
	name: 'cut',
	about: 'a data centre loses the platform alone, then everything, and returns',
	async measure(swarm) {
		const lost = swarm.places.filter(({dataCentre}) => dataCentre === 'dc3');
		const others = swarm.places.filter(({dataCentre}) => dataCentre !== 'dc3');
		const storePort = Number(new URL(swarm.storeUrl).port);
		await swarm.put(others[0]!, changeOf(1));
		await swarm.untilHeld(section, 1, limitMs);

		await swarm.cut(lost, [storePort]);
		await swarm.put(others[0]!, changeOf(2));
		const withoutStoreMs = await swarm.untilHeld(section, 2, limitMs);

		await swarm.cut(lost, [storePort, ...portsOf(others)]);
		await swarm.cut(others, portsOf(lost));
		await swarm.put(others[0]!, changeOf(3));
		const awayMs = await swarm.untilHeld(
			section,
			3,
			limitMs,
			({dataCentre}) => dataCentre !== 'dc3',
		);
		await delay(cutMs);
		const during = (await swarm.state(section)).filter(({dataCentre}) => dataCentre === 'dc3');

		await swarm.cut(lost, []);
		await swarm.cut(others, []);
		const returnMs = await swarm.untilHeld(section, 3, limitMs);
		return {
			figures: {
				nodes: swarm.places.length,
				inForceWithoutStoreMs: Math.round(withoutStoreMs),
				inForceElsewhereMs: Math.round(awayMs),
				takenUpAfterReturnMs: Math.round(returnMs),
			},
			bounds: {
				'a data centre without the platform gets the change <= 4 s': withoutStoreMs <= maxSpreadMs,
				'the others get the change <= 4 s': awayMs <= maxSpreadMs,
				'a data centre that is cut off keeps the last version': during.every(
					({version}) => version === 2,
				),
				'its members stay up': during.every(({members}) => members === lost.length),
				'on return the newest <= 4 s': returnMs <= maxSpreadMs,
			},
		};
	},
});

const portsOf = (places: Swarm['places']): number[] => places.map(({ports}) => ports.peer);

const changeOf = (version: number) => ({
	name: section,
	text: sectionText(section, version),
	expectedVersion: version - 1,
	changeId: `c${version}`,
});
