import {type Random, pick} from '@medlarsaddle/core';
import type {Endpoint} from './endpoint.js';
import type {EndpointView} from './endpoint-view.js';

type Opts = {
	readonly endpoints: readonly Endpoint[];
	readonly tried: ReadonlySet<string>;
	readonly view: EndpointView;
	readonly random: Random;
	readonly job: string;
	/** Time within which an answer is worth most, in milliseconds. */
	readonly goalMs: number;
	readonly dataCentre: string;
	/** Whether this node seems to be cut off from a data centre. */
	readonly isLost: (dataCentre: string) => boolean;
};

/**
 * What a call to another data centre counts for, as a share of its goal. Such calls are paid for by
 * the byte and are cut off when a data centre is, while an answer that comes well within its goal is
 * worth no more for coming sooner.
 */
const abroadShare = 0.15;
const minAbroadMs = 25;

/** Endpoints compared in each of the two places; more would make all entries choose the same one. */
const drawn = 3;

/**
 * Chooses the endpoint at which a call endangers its goal least, with one in the same data centre
 * going first while it is not pressed. Endpoints that were tried for this call are left out; those to
 * be avoided, those whose node is suspected and those of a data centre that is cut off are as long as
 * others remain.
 *
 * @example
 * const endpoint = chooseNear({endpoints, tried, view, random, job, goalMs: 300, dataCentre: 'dc1', isLost});
 */
export const chooseNear = ({
	endpoints,
	tried,
	view,
	random,
	job,
	goalMs,
	dataCentre,
	isLost,
}: Opts): Endpoint | undefined => {
	const fresh = endpoints.filter(({node}) => !tried.has(node));
	const working = fresh.filter(({node}) => !view.isAvoided(node));
	const usable = working.filter(endpoint => !endpoint.isSuspect && !isLost(endpoint.dataCentre));
	const pool = [usable, working, fresh].find(({length}) => length > 0) ?? [];
	const near = pool.filter(endpoint => endpoint.dataCentre === dataCentre);
	const far = pool.filter(endpoint => endpoint.dataCentre !== dataCentre);
	const abroadMs = Math.max(minAbroadMs, goalMs * abroadShare);
	let best: Endpoint | undefined;
	let leastMs = Number.POSITIVE_INFINITY;
	for (const endpoint of [...pick(near, drawn, random), ...pick(far, drawn, random)]) {
		const awayMs = endpoint.dataCentre === dataCentre ? 0 : abroadMs;
		const costMs = view.costMs(endpoint.node, job, goalMs) + awayMs;
		if (costMs < leastMs) {
			leastMs = costMs;
			best = endpoint;
		}
	}

	return best;
};
