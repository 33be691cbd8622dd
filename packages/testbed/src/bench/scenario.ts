import type {Deployment} from '../deploy/deployment.js';

/** Options of one run of a scenario. */
type Options = {
	readonly deployment: Deployment;
	readonly seed: number;
	readonly scale: number;
	/** Whether the run also measures the baseline. */
	readonly hasBaseline: boolean;
};

/** Figures of a run: values, or groups of numbers by name. */
type Figures = Readonly<Record<string, number | string | Readonly<Record<string, number>>>>;

/**
 * One scenario of the bench.
 *
 * @example
 * const result = await scenario.run(options);
 */
export type Scenario = {
	readonly name: string;
	readonly description: string;
	run(options: Options): Promise<{
		readonly figures: Figures;
		/** Whether each bound held. */
		readonly bounds: Readonly<Record<string, boolean>>;
		readonly baselineFigures?: Figures;
	}>;
};
