import type {Deployment} from '../deploy/deployment.js';

/** What a scenario is run with. */
type Options = {
	readonly deployment: Deployment;
	readonly seed: number;
	readonly scale: number;
	/** Runs the baseline as well, in the same run. */
	readonly hasBaseline: boolean;
};

/** Figures of a run: numbers, or numbers by name. */
type Figures = Readonly<Record<string, number | string | Readonly<Record<string, number>>>>;

/**
 * One scenario of the bench.
 *
 * @example
 * const result = await scenario.run(options);
 */
export type Scenario = {
	readonly name: string;
	readonly about: string;
	run(options: Options): Promise<{
		readonly figures: Figures;
		/** Each bound with whether it held. */
		readonly bounds: Readonly<Record<string, boolean>>;
		readonly baselineFigures?: Figures;
	}>;
};
