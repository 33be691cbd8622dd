import type {Child} from './child.js';

type Ports = {
	readonly http: number;
	readonly upstream: number;
	readonly peer: number;
	readonly operator: number;
};

/**
 * One host of a fleet: a node and its upstream.
 *
 * @example
 * const url = `http://127.0.0.1:${host.ports.http}`;
 */
export type Host = {
	readonly id: string;
	readonly dataCentre: string;
	readonly service: string;
	node: Child;
	ports: Ports;
	upstream: Child;
	controlUrl: string;
	/** Base URL of the upstream, which bypasses the node. */
	upstreamUrl: string;
	readonly slots: number;
};
