/**
 * An upstream that calls can be sent to, identified by the node that runs beside it.
 *
 * @example
 * const endpoint: Endpoint = {node: 'dc1-a', service: 'payment', dataCentre: 'dc1', weight: 1};
 */
export type Endpoint = {
	readonly node: string;
	readonly service: string;
	readonly dataCentre: string;
	/** Last known number of calls that the upstream runs at once; a hint. */
	readonly weight: number;
	/** Whether its node did not answer the last probe. */
	readonly isSuspect?: boolean;
};
