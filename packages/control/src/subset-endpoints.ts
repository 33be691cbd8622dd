import {rendezvous} from '@medlarsaddle/core';
import type {Endpoint} from './endpoint.js';

type Opts = {
	readonly endpoints: readonly Endpoint[];
	/** ID of the node that chooses. */
	readonly self: string;
	/** Data centre of that node. */
	readonly dataCentre: string;
};

/** Enough for load to be spread evenly over the endpoints of all nodes' subsets. */
const maxLocal = 12;

/** Endpoints of other data centres, which take what the local ones cannot. */
const maxRemote = 8;

/**
 * Returns the endpoints of a service that a node uses while they can be used: a few in its data centre
 * and a few in others, by rendezvous hashing, so that a change of the members changes few subsets.
 * This handles hundreds of hosts, where a node that uses all endpoints opens a connection to nearly
 * every host for a handful of calls, and knows next to nothing of the load at any of them.
 *
 * @example
 * const subset = subsetEndpoints({endpoints, self: 'dc1-a', dataCentre: 'dc1'});
 */
export const subsetEndpoints = ({endpoints, self, dataCentre}: Opts): readonly Endpoint[] => {
	const idsOf = (isLocal: boolean) =>
		endpoints
			.filter(endpoint => (endpoint.dataCentre === dataCentre) === isLocal)
			.map(({node}) => node);
	const local = idsOf(true);
	const remote = idsOf(false);
	if (local.length <= maxLocal && remote.length <= maxRemote) {
		return endpoints;
	}

	const kept = new Set([
		...rendezvous(self, local, maxLocal),
		...rendezvous(self, remote, maxRemote),
	]);
	return endpoints.filter(({node}) => kept.has(node));
};
