import {setTimeout as delay} from 'node:timers/promises';
import type {Swarm} from '../deploy/swarm.js';
import {multiSizeScenario} from './multi-size-scenario.js';
import {sectionText} from './section-text.js';

const partitionMs = 6000;
const timeoutMs = 20_000;
const maxSpreadMs = 4000;
const section = 'service-1';

/** One data centre is cut off from the platform, then from the other data centres, then heals. */
export const cut = multiSizeScenario({
	name: 'cut',
	description:
		'a data centre is cut off from the platform, then from everything else too, then heals',
	async measure(swarm) {
		const isolated = swarm.nodes.filter(({dataCentre}) => dataCentre === 'dc3');
		const others = swarm.nodes.filter(({dataCentre}) => dataCentre !== 'dc3');
		const storePort = Number(new URL(swarm.storeUrl).port);
		await swarm.put(others[0]!, createChange(1));
		await swarm.waitUntilHeld(section, 1, timeoutMs);

		await swarm.blockPorts(isolated, [storePort]);
		await swarm.put(others[0]!, createChange(2));
		const withoutStoreMs = await swarm.waitUntilHeld(section, 2, timeoutMs);

		await swarm.blockPorts(isolated, [storePort, ...peerPortsOf(others)]);
		await swarm.blockPorts(others, peerPortsOf(isolated));
		await swarm.put(others[0]!, createChange(3));
		const elsewhereMs = await swarm.waitUntilHeld(
			section,
			3,
			timeoutMs,
			({dataCentre}) => dataCentre !== 'dc3',
		);
		await delay(partitionMs);
		const statesDuringCut = (await swarm.state(section)).filter(
			({dataCentre}) => dataCentre === 'dc3',
		);

		await swarm.blockPorts(isolated, []);
		await swarm.blockPorts(others, []);
		const returnMs = await swarm.waitUntilHeld(section, 3, timeoutMs);
		return {
			figures: {
				nodes: swarm.nodes.length,
				inForceWithoutStoreMs: Math.round(withoutStoreMs),
				inForceElsewhereMs: Math.round(elsewhereMs),
				takenUpAfterReturnMs: Math.round(returnMs),
			},
			bounds: {
				'a data centre without the platform gets the change <= 4 s': withoutStoreMs <= maxSpreadMs,
				'the others get the change <= 4 s': elsewhereMs <= maxSpreadMs,
				'a data centre that is cut off keeps the last version': statesDuringCut.every(
					({version}) => version === 2,
				),
				'its members stay up': statesDuringCut.every(({members}) => members === isolated.length),
				'on return the newest <= 4 s': returnMs <= maxSpreadMs,
			},
		};
	},
});

const peerPortsOf = (places: Swarm['nodes']): number[] => places.map(({ports}) => ports.peer);

const createChange = (version: number) => ({
	name: section,
	text: sectionText(section, version),
	expectedVersion: version - 1,
	changeId: `c${version}`,
});
