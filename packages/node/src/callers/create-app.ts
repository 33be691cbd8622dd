import fastify, {type FastifyInstance} from 'fastify';
import {type Log, errorText, events, faultKinds} from '@medlarsaddle/core';
import {runStates} from '@medlarsaddle/wire';

type Opts = {
	readonly maxBodyBytes: number;
	readonly log: Log;
};

const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 72_000;

/**
 * Creates an HTTP server that reads bodies as bytes and answers errors with a refusal body. A
 * request that the server itself rejects has not run.
 *
 * @example
 * const app = createApp({maxBodyBytes: 1_048_576, log});
 */
export const createApp = ({maxBodyBytes, log}: Opts): FastifyInstance => {
	const app = fastify({
		bodyLimit: maxBodyBytes,
		requestTimeout: requestTimeoutMs,
		keepAliveTimeout: keepAliveTimeoutMs,
		forceCloseConnections: 'idle',
		exposeHeadRoutes: false,
		routerOptions: {ignoreDuplicateSlashes: false, maxParamLength: 4096},
	});
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.setErrorHandler(async (error: Error & {statusCode?: number}, _req, reply) => {
		const status = error.statusCode ?? 500;
		const isServerError = status >= 500;
		if (isServerError) {
			log(events.taskFailed, {task: 'request', error: errorText(error)});
		}

		return reply.code(status).send({
			kind:
				status === 413
					? faultKinds.tooLarge
					: isServerError
						? faultKinds.internal
						: faultKinds.badInput,
			run: isServerError ? runStates.unknown : runStates.notRun,
			what: error.message,
			remedy: isServerError ? 'Report it with the time of the request' : 'Correct the request',
		});
	});
	app.setNotFoundHandler(async (_req, reply) =>
		reply.code(404).send({
			kind: faultKinds.notFound,
			run: runStates.notRun,
			what: 'There is nothing at this path',
			remedy: 'Send calls to /call/SERVICE/PATH',
		}),
	);
	return app;
};
