import {type Random, pick} from '@medlarsaddle/core';
import type {Endpoint} from './endpoint.js';
import type {EndpointView} from './endpoint-view.js';

type Opts = {
	readonly endpoints: readonly Endpoint[];
	readonly tried: ReadonlySet<string>;
	readonly view: EndpointView;
	readonly random: Random;
	readonly job: string;
	/** Target latency of an answer, in milliseconds. */
	readonly goalMs: number;
	readonly dataCentre: string;
	/** Whether a data centre seems to be unreachable from this node. */
	readonly isUnreachable: (dataCentre: string) => boolean;
};

/**
 * Extra cost of a call to another data centre, as a share of its goal. Traffic between data centres
 * is billed by the byte and such calls fail when a data centre is cut off, while an answer well
 * within its goal gains nothing from arriving sooner.
 */
const remoteCostShare = 0.15;
const minRemoteCostMs = 25;

/**
 * Endpoints compared locally and remotely each. With more, all entry nodes would choose the same.
 */
const sampleSize = 3;

/**
 * Chooses the endpoint at which a call is most likely to meet its goal, and prefers one in the same
 * data centre while it is not overloaded. Endpoints already tried for this call are skipped.
 * Avoided endpoints, endpoints on a suspected node and endpoints of an unreachable data centre are
 * skipped while others remain.
 *
 * @example
 * const endpoint = chooseNear({
 * 	endpoints, tried, view, random, job, goalMs: 300, dataCentre: 'dc1', isUnreachable,
 * });
 */
export const chooseNear = ({
	endpoints,
	tried,
	view,
	random,
	job,
	goalMs,
	dataCentre,
	isUnreachable,
}: Opts): Endpoint | undefined => {
	const untried = tried.size === 0 ? endpoints : endpoints.filter(({node}) => !tried.has(node));
	const available = untried.filter(({node}) => !view.isAvoided(node));
	const usable = available.filter(
		endpoint => !endpoint.isSuspect && !isUnreachable(endpoint.dataCentre),
	);
	const pool = [usable, available, untried].find(({length}) => length > 0) ?? [];
	const local: Endpoint[] = [];
	const remote: Endpoint[] = [];
	for (const endpoint of pool) {
		(endpoint.dataCentre === dataCentre ? local : remote).push(endpoint);
	}

	const remoteCostMs = Math.max(minRemoteCostMs, goalMs * remoteCostShare);
	let best: Endpoint | undefined;
	let lowestCostMs = Number.POSITIVE_INFINITY;
	for (const endpoint of [
		...pick(local, sampleSize, random),
		...pick(remote, sampleSize, random),
	]) {
		const distanceCostMs = endpoint.dataCentre === dataCentre ? 0 : remoteCostMs;
		const costMs = view.costMs(endpoint.node, job, goalMs) + distanceCostMs;
		if (costMs < lowestCostMs) {
			lowestCostMs = costMs;
			best = endpoint;
		}
	}

	return best;
};
