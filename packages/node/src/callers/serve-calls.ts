import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {type Fault} from '@medlarsaddle/core';
import {type Refusal, runStates} from '@medlarsaddle/wire';
import type {CompletedCall} from '../calls/completed-call.js';
import type {Router} from '../calls/router.js';
import {headerNames} from './header-names.js';
import {passOnHeaders} from './pass-on-headers.js';
import {readIncoming} from './read-incoming.js';
import {sendRefusal} from './send-refusal.js';

type Deps = {
	readonly router: Router;
	readonly issueKey: () => string;
	/** Why no new work is taken, while the node leaves. */
	readonly closedBy: () => Fault | undefined;
	/** Resolves when the node may act, after a pause once it has rejoined. */
	readonly mayAct: () => Promise<void>;
	readonly isFromUpstream: boolean;
	readonly track: (call: Promise<void>) => void;
};

const prefix = '/call/';

/**
 * Adds the route that takes calls in. Each request is handled from reading to answer by one
 * function, and a caller that goes away cancels its call.
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

		// Calls of requests that are in flight go on while the node leaves.
		const closed = incoming.value.context === undefined ? deps.closedBy() : undefined;
		if (closed) {
			const run = incoming.value.key === undefined ? runStates.notRun : runStates.unknown;
			return sendRefusal(reply, refusalFrom(closed, run), undefined);
		}

		const abort = new AbortController();
		reply.raw.once('close', () => {
			if (!reply.raw.writableFinished) {
				abort.abort(new Error('The caller went away'));
			}
		});
		await deps.mayAct();
		const originated = await deps.router.handle(incoming.value, abort.signal);
		const hasKey = incoming.value.key !== undefined;
		await sendOutcome(reply, originated, hasKey ? deps.issueKey() : undefined);
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

	const headers = passOnHeaders(result.headers);
	for (let index = 0; index < headers.length; index += 2) {
		appendHeader(reply, headers[index]!, headers[index + 1]!);
	}

	await reply
		.code(result.status)
		.send(result.body.length > 0 ? Buffer.from(result.body) : undefined);
};

const appendHeader = (reply: FastifyReply, name: string, value: string): void => {
	const before = reply.getHeader(name);
	void reply.header(name, before === undefined ? value : [before, value].flat().map(String));
};
