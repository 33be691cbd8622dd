import {randomUUID} from 'node:crypto';
import {cohortOf} from '@medlarsaddle/control';
import type {Terms} from '@medlarsaddle/policy';
import type {CallRequest} from '@medlarsaddle/wire';
import type {InFlightCall} from '../upstream/in-flight-call.js';
import type {IncomingCall} from './incoming-call.js';

type Opts = {
	readonly incoming: IncomingCall;
	readonly terms: Terms;
	/** The call that the upstream was running when it made this call. */
	readonly parent: InFlightCall | undefined;
	readonly nowMs: number;
};

/**
 * Builds the call to send to an endpoint. A call that belongs to a request in flight has the root
 * ID, rank and cohort of that request, and its deadline is no later.
 *
 * @example
 * const request = buildRequest({incoming, terms, parent, nowMs});
 */
export const buildRequest = ({incoming, terms, parent, nowMs}: Opts): CallRequest => {
	const {service, job, method, path, headers, body, key} = incoming;
	const rootId = parent?.request.rootId ?? key ?? randomUUID();
	const ownBudgetMs = Math.min(terms.deadlineMs, incoming.deadlineMs ?? terms.deadlineMs);
	const parentLeftMs = parent ? parent.deadlineMs - nowMs : ownBudgetMs;
	return {
		service,
		job,
		method,
		path,
		headers,
		body,
		rootId,
		rank: parent?.request.rank ?? terms.rank,
		cohort: parent?.request.cohort ?? cohortOf(rootId),
		remainingMs: Math.min(ownBudgetMs, parentLeftMs),
		allowance: terms.retries,
		depth: parent ? parent.request.depth + 1 : 0,
		idempotent: terms.idempotent,
		key,
	};
};
