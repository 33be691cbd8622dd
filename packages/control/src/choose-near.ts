import {type Random, pick} from '@medlarsaddle/core';
import type {Endpoint} from './endpoint.js';
import type {EndpointView} from './endpoint-view.js';

type Opts = {
	readonly endpoints: readonly Endpoint[];
	readonly tried: ReadonlySet<string>;
	readonly view: EndpointView;
	readonly random: Random;
	readonly job: string;
	readonly dataCentre: string;
};

/**
 * What a call to another data centre counts for, in milliseconds. Such calls are paid for by the byte
 * and are cut off when a data centre is, so they are made when the nearer endpoints are that much
 * slower.
 */
const abroadMs = 80;

/** Endpoints compared in each of the two places; more would make all entries choose the same one. */
const drawn = 3;

/**
 * Chooses the endpoint at which a call is expected to end first, with one in the same data centre
 * going first while it is not pressed. Endpoints that were tried for this call are left out, and so
 * are those to be avoided while others remain.
 *
 * @example
 * const endpoint = chooseNear({endpoints, tried, view, random, job, dataCentre: 'dc1'});
 */
export const chooseNear = ({
	endpoints,
	tried,
	view,
	random,
	job,
	dataCentre,
}: Opts): Endpoint | undefined => {
	const fresh = endpoints.filter(({node}) => !tried.has(node));
	const usable = fresh.filter(({node}) => !view.isAvoided(node));
	const pool = usable.length > 0 ? usable : fresh;
	const near = pool.filter(endpoint => endpoint.dataCentre === dataCentre);
	const far = pool.filter(endpoint => endpoint.dataCentre !== dataCentre);
	let best: Endpoint | undefined;
	let leastMs = Number.POSITIVE_INFINITY;
	for (const endpoint of [...pick(near, drawn, random), ...pick(far, drawn, random)]) {
		const awayMs = endpoint.dataCentre === dataCentre ? 0 : abroadMs;
		const costMs = view.costMs(endpoint.node, job) + awayMs;
		if (costMs < leastMs) {
			leastMs = costMs;
			best = endpoint;
		}
	}

	return best;
};
