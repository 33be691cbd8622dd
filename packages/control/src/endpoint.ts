/**
 * An upstream that calls can be sent to, named by the node beside it.
 *
 * @example
 * const endpoint: Endpoint = {node: 'dc1-a', service: 'payment', dataCentre: 'dc1', weight: 1};
 */
export type Endpoint = {
	readonly node: string;
	readonly service: string;
	readonly dataCentre: string;
	/** Calls that the upstream runs at once, as last heard; a hint. */
	readonly weight: number;
	/** Whether its node did not answer the last probe of it. */
	readonly isSuspect?: boolean;
};
