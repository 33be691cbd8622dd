/**
 * A simulated deployment: its services and their sizes, its policy and its callers' requests.
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
	readonly jobs: readonly RequestKind[];
};

/** One kind of request that callers send, with its share of the load. */
type RequestKind = {
	readonly name: string;
	readonly rank: string;
	readonly service: string;
	readonly job: string;
	readonly share: number;
	readonly isKeyed: boolean;
	readonly chain: ReadonlyArray<{readonly service: string; readonly job: string}>;
};
