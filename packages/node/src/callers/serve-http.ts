import {once} from 'node:events';
import type {FastifyInstance} from 'fastify';
import type {Task} from '@medlarsaddle/supervise';

/**
 * Task of an HTTP server that is already listening: closes it when the signal aborts, after the
 * requests in flight have been answered.
 *
 * @example
 * const task = serveHttp(app);
 */
export const serveHttp =
	(app: FastifyInstance): Task =>
	async (signal, ready) => {
		ready();
		if (!signal.aborted) {
			await once(signal, 'abort');
		}

		await app.close();
	};
