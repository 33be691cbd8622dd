import {EndpointStats, chooseOfTwo} from '@medlarsaddle/control';
import type {Clock, Random} from '@medlarsaddle/core';
import type {Directory} from './directory.js';
import type {EndpointSelector} from './endpoint-selector.js';
import {verdictOf} from './verdict-of.js';

type Deps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly directory: Directory;
};

/**
 * Chooses the cheaper of two endpoints drawn at random, wherever they stand.
 *
 * @example
 * const selector = createDrawnSelector({clock, random, directory});
 */
export const createDrawnSelector = ({clock, random, directory}: Deps): EndpointSelector => {
	const stats = EndpointStats.create();
	return {
		choose: ({service}, tried) =>
			chooseOfTwo({
				endpoints: directory.endpointsOf(service),
				tried,
				stats,
				random,
				nowMs: clock.monotonic(),
			}),
		began(node) {
			stats.noteSent(node);
		},
		ended(node, _request, outcome, elapsedMs) {
			const {load} = outcome;
			stats.noteEnded(
				node,
				{isSuccess: verdictOf(outcome), latencyMs: elapsedMs, load},
				clock.monotonic(),
			);
		},
		isEjected: node => stats.isEjected(node, clock.monotonic()),
		keepOnly(nodes) {
			stats.retainOnly(nodes);
		},
	};
};
