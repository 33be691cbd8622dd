import {Swarm} from '../deploy/swarm.js';
import type {Scenario} from './scenario.js';

type Measurement = {
	readonly figures: Readonly<Record<string, number>>;
	readonly bounds: Readonly<Record<string, boolean>>;
};

type Opts = {
	readonly name: string;
	readonly description: string;
	/** Measures a swarm in which every node knows all nodes of its data centre. */
	readonly measure: (swarm: Swarm) => Promise<Measurement>;
	/** Bounds that compare the figures of the smallest and the largest swarm. */
	readonly compareSizes?: (
		smallest: Measurement['figures'],
		largest: Measurement['figures'],
	) => Measurement['bounds'];
};

const sizes = [20, 60, 180] as const;

/**
 * Builds a scenario that runs with 20, 60 and 180 nodes, to show how its figures grow with size.
 *
 * @example
 * const race = multiSizeScenario({name: 'race', description, measure});
 */
export const multiSizeScenario = ({name, description, measure, compareSizes}: Opts): Scenario => ({
	name,
	description: `${description}; with 20, 60 and 180 nodes`,
	async run() {
		const figures: Record<string, Measurement['figures']> = {};
		const bounds: Record<string, boolean> = {};
		for (const size of sizes) {
			const measured = await measureAt(size, measure);
			figures[`nodes${size}`] = measured.figures;
			for (const [bound, isHeld] of Object.entries(measured.bounds)) {
				bounds[`${size} nodes: ${bound}`] = isHeld;
			}
		}

		const smallest = figures[`nodes${sizes[0]}`]!;
		const largest = figures[`nodes${sizes.at(-1)!}`]!;
		return {figures, bounds: {...bounds, ...compareSizes?.(smallest, largest)}};
	},
});

const measureAt = async (size: number, measure: Opts['measure']): Promise<Measurement> => {
	const swarm = await Swarm.start(size);
	try {
		return await measure(swarm);
	} finally {
		await swarm.stop();
	}
};
