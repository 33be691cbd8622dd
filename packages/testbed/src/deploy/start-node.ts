import {Child} from './child.js';
import {programs} from './programs.js';

type Opts = {
	readonly id: string;
	readonly dataCentre: string;
	readonly seeds: readonly string[];
	readonly storeUrl: string;
	readonly admission?: 'on' | 'off';
	readonly rollUpMs?: number;
};

const maxSeeds = 6;
const stopSeconds = 10;
const defaultRollUpMs = 15_000;

/**
 * Starts a node in its own process on free ports; resolves when it is ready.
 *
 * @example
 * const node = await startNode({id: 'pay-1', dataCentre: 'bud1', seeds, storeUrl});
 */
export const startNode = async (opts: Opts): Promise<Child> => {
	const {id, dataCentre, seeds, storeUrl, admission = 'on', rollUpMs = defaultRollUpMs} = opts;
	const settings = {
		'node-id': id,
		'data-centre': dataCentre,
		'http-port': '0',
		'upstream-port': '0',
		'peer-port': '0',
		'operator-port': '0',
		seeds: seeds.slice(0, maxSeeds).join(','),
		'store-url': storeUrl,
		admission,
		'stop-seconds': String(stopSeconds),
		'roll-up-ms': String(rollUpMs),
	};
	return Child.start({
		script: programs.daemon,
		args: Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, value]),
		parseReadyLine: line => line.ports,
	});
};
