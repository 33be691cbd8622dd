import {EndpointStats, chooseOfTwo} from '@medlarsaddle/control';
import type {Clock, Random} from '@medlarsaddle/core';
import type {EndpointDirectory} from './endpoint-directory.js';
import type {EndpointSelector} from './endpoint-selector.js';
import {hasSucceeded} from './has-succeeded.js';

type Deps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly directory: EndpointDirectory;
};

/**
 * Creates a selector that picks two endpoints at random and chooses the one with the lower cost,
 * regardless of their data centre.
 *
 * @example
 * const selector = createTwoChoiceSelector({clock, random, directory});
 */
export const createTwoChoiceSelector = ({clock, random, directory}: Deps): EndpointSelector => {
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
		noteSent(node) {
			stats.noteSent(node);
		},
		noteEnded(node, _request, outcome, elapsedMs) {
			const {load} = outcome;
			stats.noteEnded(
				node,
				{isSuccess: hasSucceeded(outcome), latencyMs: elapsedMs, load},
				clock.monotonic(),
			);
		},
		isEjected: node => stats.isEjected(node, clock.monotonic()),
		retainOnly(nodes) {
			stats.retainOnly(nodes);
		},
	};
};
