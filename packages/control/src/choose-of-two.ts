import {type Random, pick} from '@medlarsaddle/core';
import type {Endpoint} from './endpoint.js';
import type {EndpointStats} from './endpoint-stats.js';

type Opts = {
	readonly endpoints: readonly Endpoint[];
	readonly tried: ReadonlySet<string>;
	readonly stats: EndpointStats;
	readonly random: Random;
	readonly nowMs: number;
};

/**
 * Chooses the cheaper of two random endpoints (power of two choices). Endpoints already tried for
 * this call are skipped. Ejected endpoints are skipped only while at least half of all remain, so
 * that a data centre never ejects all its endpoints.
 *
 * @example
 * const endpoint = chooseOfTwo({endpoints, tried, stats, random, nowMs});
 */
export const chooseOfTwo = ({
	endpoints,
	tried,
	stats,
	random,
	nowMs,
}: Opts): Endpoint | undefined => {
	const healthy = endpoints.filter(({node}) => !stats.isEjected(node, nowMs));
	const candidates = healthy.length * 2 >= endpoints.length ? healthy : endpoints;
	const untried = candidates.filter(({node}) => !tried.has(node));
	const pool = untried.length > 0 ? untried : endpoints.filter(({node}) => !tried.has(node));
	const [a, b] = pick(pool, 2, random);
	if (!a || !b) {
		return a;
	}

	return stats.cost(a.node, a.weight, nowMs) <= stats.cost(b.node, b.weight, nowMs) ? a : b;
};
