import {Swarm} from '../deploy/swarm.js';
import type {Scenario} from './scenario.js';

type Measured = {
	readonly figures: Readonly<Record<string, number>>;
	readonly bounds: Readonly<Record<string, boolean>>;
};

type Plan = {
	readonly name: string;
	readonly about: string;
	/** Measures a swarm that has settled. */
	readonly measure: (swarm: Swarm) => Promise<Measured>;
	/** Bounds on the figures of the smallest and the largest size together. */
	readonly across?: (
		smallest: Measured['figures'],
		largest: Measured['figures'],
	) => Measured['bounds'];
};

const sizes = [20, 60, 180] as const;

/**
 * Builds a scenario that is measured with 20, 60 and 180 nodes, so that slopes show.
 *
 * @example
 * const race = bySize({name: 'race', about, measure});
 */
export const bySize = ({name, about, measure, across}: Plan): Scenario => ({
	name,
	about: `${about}; with 20, 60 and 180 nodes`,
	async run() {
		const figures: Record<string, Measured['figures']> = {};
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
		return {figures, bounds: {...bounds, ...across?.(smallest, largest)}};
	},
});

const measureAt = async (size: number, measure: Plan['measure']): Promise<Measured> => {
	const swarm = await Swarm.start(size);
	try {
		return await measure(swarm);
	} finally {
		await swarm.stop();
	}
};
