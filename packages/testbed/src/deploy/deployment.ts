/**
 * A deployment of the brief: its services, their sizes, its policy and what its callers send.
 *
 * @example
 * const {services} = deployments.hungary;
 */
export type Deployment = {
	readonly name: string;
	readonly dataCentres: readonly string[];
	readonly services: ReadonlyArray<{
		readonly name: string;
		readonly endpoints: number;
		readonly slots: number;
		readonly connections: number;
		readonly serviceMs: number;
	}>;
	/** Policy files, by section name. */
	readonly policy: Readonly<Record<string, string>>;
	readonly jobs: readonly JobMix[];
};

/** One kind of request that callers send. */
type JobMix = {
	readonly name: string;
	readonly rank: string;
	readonly service: string;
	readonly job: string;
	readonly share: number;
	readonly keyed: boolean;
	readonly chain: ReadonlyArray<{readonly service: string; readonly job: string}>;
};
