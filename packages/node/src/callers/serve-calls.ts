import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {type Fault} from '@medlarsaddle/core';
import {type Refusal, runStates} from '@medlarsaddle/wire';
import type {CompletedCall} from '../calls/completed-call.js';
import type {Router} from '../calls/router.js';
import {headerNames} from './header-names.js';
import {endToEndHeaders} from './end-to-end-headers.js';
import {readIncoming} from './read-incoming.js';
import {sendRefusal} from './send-refusal.js';

type Deps = {
	readonly router: Router;
	readonly issueKey: () => string;
	/** Fault with which new work is refused while the node drains; undefined otherwise. */
	readonly drainingFault: () => Fault | undefined;
	/** Resolves with the milliseconds waited once the node may act: at once, or rejoined after a pause. */
	readonly waitUntilRejoined: () => Promise<number>;
	readonly isFromUpstream: boolean;
	readonly track: (call: Promise<void>) => void;
};

const prefix = '/call/';

/**
 * Adds the route that accepts calls. One function handles each request from reading it to answering
 * it, and a caller that disconnects cancels its call.
 *
 * @example
 * serveCalls(app, deps);
 */
export const serveCalls = (app: FastifyInstance, deps: Deps): void => {
	const handle = async (req: FastifyRequest, reply: FastifyReply): Promise<void> => {
		const incoming = readIncoming({
			method: req.method,
			target: (req.raw.url ?? '').slice(prefix.length),
			rawHeaders: req.raw.rawHeaders,
			body: (req.body as Uint8Array | undefined) ?? noBody,
			isFromUpstream: deps.isFromUpstream,
		});
		if (incoming.isErr()) {
			return sendRefusal(reply, refusalFrom(incoming.error, runStates.notRun), undefined);
		}

		// While the node drains, it still accepts calls that belong to a request in flight.
		const fault = incoming.value.context === undefined ? deps.drainingFault() : undefined;
		if (fault) {
			const run = incoming.value.key === undefined ? runStates.notRun : runStates.unknown;
			return sendRefusal(reply, refusalFrom(fault, run), undefined);
		}

		const abort = new AbortController();
		reply.raw.once('close', () => {
			if (!reply.raw.writableFinished) {
				abort.abort(new Error('The caller disconnected'));
			}
		});
		const waitedMs = await deps.waitUntilRejoined();
		const {deadlineMs} = incoming.value;
		const completed = await deps.router.handle(
			deadlineMs === undefined
				? incoming.value
				: {...incoming.value, deadlineMs: deadlineMs - waitedMs},
			abort.signal,
		);
		const hasKey = incoming.value.key !== undefined;
		await sendOutcome(reply, completed, hasKey ? deps.issueKey() : undefined);
	};

	app.all(`${prefix}*`, async (req, reply) => {
		const call = handle(req, reply);
		deps.track(call);
		await call;
		return reply;
	});
};

const noBody = new Uint8Array();

const refusalFrom = ({kind, what, remedy}: Fault, run: Refusal['run']): Refusal => ({
	kind: 'refusal',
	fault: kind,
	what,
	remedy,
	run,
});

const sendOutcome = async (
	reply: FastifyReply,
	{result, rootId, unspent}: CompletedCall,
	nextKey: string | undefined,
): Promise<void> => {
	void reply.header(headerNames.rootId, rootId).header(headerNames.retriesLeft, unspent);
	if (nextKey !== undefined) {
		void reply.header(headerNames.nextKey, nextKey);
	}

	if (result.kind === 'refusal') {
		return sendRefusal(reply, result, rootId);
	}

	const headers = endToEndHeaders(result.headers);
	for (let index = 0; index < headers.length; index += 2) {
		appendHeader(reply, headers[index]!, headers[index + 1]!);
	}

	await reply
		.code(result.status)
		.send(result.body.length > 0 ? Buffer.from(result.body) : undefined);
};

const appendHeader = (reply: FastifyReply, name: string, value: string): void => {
	const existing = reply.getHeader(name);
	void reply.header(name, existing === undefined ? value : [existing, value].flat().map(String));
};
