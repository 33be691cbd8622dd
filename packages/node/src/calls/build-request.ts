import {randomUUID} from 'node:crypto';
import {cohortOf} from '@medlarsaddle/control';
import type {Terms} from '@medlarsaddle/policy';
import type {CallRequest} from '@medlarsaddle/wire';
import type {InFlightCall} from '../upstream/in-flight-call.js';
import type {Incoming} from './incoming.js';

type Opts = {
	readonly incoming: Incoming;
	readonly terms: Terms;
	/** The call that the upstream was running when it made this one. */
	readonly parent: InFlightCall | undefined;
	readonly nowMs: number;
};

/**
 * Builds the call that travels on. One that belongs to a request in flight keeps the root, rank and
 * cohort of that request and never outlasts it.
 *
 * @example
 * const request = buildRequest({incoming, terms, parent, nowMs});
 */
export const buildRequest = ({incoming, terms, parent, nowMs}: Opts): CallRequest => {
	const {service, job, method, path, headers, body, key} = incoming;
	const rootId = parent?.request.rootId ?? key ?? randomUUID();
	const ownLimitMs = Math.min(terms.deadlineMs, incoming.deadlineMs ?? terms.deadlineMs);
	const parentLeftMs = parent ? parent.deadlineMs - nowMs : ownLimitMs;
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
		remainingMs: Math.min(ownLimitMs, parentLeftMs),
		allowance: terms.retries,
		depth: parent ? parent.request.depth + 1 : 0,
		idempotent: terms.idempotent,
		key,
	};
};
