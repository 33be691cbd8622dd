import {isFinalStatus} from '@medlarsaddle/streams';
import type {Answer} from './answer.js';
import {asIs} from './as-is.js';
import type {CallOutcome} from './call-outcome.js';
import type {CallRequest} from './call-request.js';
import {defineLayout} from './define-layout.js';
import type {Layout} from './layout.js';
import type {MessageOf} from './message-of.js';
import {messageTypes} from './message-types.js';
import type {Refusal} from './refusal.js';
import type {UpstreamState} from './upstream-state.js';

const answer = defineLayout<Answer>({kind: asIs, status: asIs, headers: asIs, body: asIs});

const refusal = defineLayout<Refusal>({
	kind: asIs,
	fault: asIs,
	what: asIs,
	remedy: asIs,
	run: asIs,
	retryAfterMs: asIs,
	final: asIs,
	by: asIs,
	limit: asIs,
});

const result: Layout<Answer | Refusal> = {
	write: value => (value.kind === 'answer' ? answer.write(value) : refusal.write(value)),
	read(values) {
		if ((values as readonly unknown[])[0] !== 'answer') {
			return refusal.read(values);
		}

		const received = answer.read(values);
		if (!isFinalStatus(received.status)) {
			throw new TypeError('An answer lacks a status of HTTP');
		}

		return received;
	},
};

const state = defineLayout<UpstreamState>({waitMs: asIs, limit: asIs, heldMs: asIs});

const outcome = defineLayout<CallOutcome>({
	result,
	cutoffs: asIs,
	pressedBy: asIs,
	load: asIs,
	unspent: asIs,
	slowest: defineLayout<NonNullable<CallOutcome['slowest']>>({service: asIs, ms: asIs}),
	state,
	footprint: asIs,
	shares: asIs,
	isCall: asIs,
	refusedBelow: asIs,
});

const request = defineLayout<CallRequest>({
	service: asIs,
	job: asIs,
	method: asIs,
	path: asIs,
	headers: asIs,
	body: asIs,
	rootId: asIs,
	rank: asIs,
	cohort: asIs,
	remainingMs: asIs,
	allowance: asIs,
	depth: asIs,
	idempotent: asIs,
	goalMs: asIs,
	origin: asIs,
	key: asIs,
});

/**
 * Layouts of the messages sent for every request. Other messages are rare and carry field names.
 */
export const messageLayouts = {
	[messageTypes.call]: defineLayout<MessageOf<'call'>>({
		type: asIs,
		id: asIs,
		mode: asIs,
		request,
		takesStalled: asIs,
	}),
	[messageTypes.outcome]: defineLayout<MessageOf<'outcome'>>({type: asIs, id: asIs, outcome}),
} as const;
