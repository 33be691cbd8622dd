import type {Clock} from '@medlarsaddle/core';
import {cohortCount} from '@medlarsaddle/control';
import type {Tally} from '@medlarsaddle/report';
import type {Config} from '../config/config.js';
import type {IncomingCall} from '../calls/incoming-call.js';
import type {CompletedCall} from '../calls/completed-call.js';
import {causeOf} from './cause-of.js';
import {classify} from './classify.js';
import type {Explanations} from './explanations.js';
import type {Metrics} from './metrics.js';

type Deps = {
	readonly clock: Clock;
	readonly config: Config;
	readonly tally: Tally;
	readonly explanations: Explanations;
	readonly metrics: Metrics;
};

/**
 * Creates the function that records how each request ended, for report, metrics and explanations.
 *
 * @example
 * const onEnded = createOutcomeRecorder(deps);
 */
export const createOutcomeRecorder =
	({clock, config, tally, explanations, metrics}: Deps) =>
	(incoming: IncomingCall, completed: CompletedCall): void => {
		const {result, terms, rootId, cohort, outcome, elapsedMs} = completed;
		const {service, job, key = ''} = incoming;
		if (incoming.context === undefined) {
			const withinMs =
				config.policy.latencyObjectiveMs(service, terms.rankName) ?? terms.deadlineMs;
			const outcomeClass = classify(completed, withinMs);
			if (outcomeClass) {
				tally.count({
					service,
					rank: terms.rankName,
					outcome: outcomeClass,
					cause: causeOf(completed),
					elapsedMs: result.kind === 'answer' ? elapsedMs : undefined,
				});
				metrics.countRequest(terms.rankName, outcomeClass, elapsedMs);
			}
		}

		if (result.kind === 'refusal') {
			explanations.add({
				atMs: clock.now(),
				rootId,
				key,
				service,
				job,
				rank: terms.rankName,
				cohort,
				cutoff: outcome.cutoffs[terms.rank] ?? cohortCount,
				fault: result.fault,
				run: result.run,
				what: result.what,
				remedy: result.remedy,
				policyVersion: config.policy.sectionOf(service)?.version ?? 0,
				refusedBy: result.by ?? '',
				limit: result.limit ?? 0,
			});
		}
	};
