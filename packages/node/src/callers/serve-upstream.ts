import type {FastifyInstance} from 'fastify';
import {faultKinds} from '@medlarsaddle/core';
import {z} from 'zod';
import {announcement} from '../upstream/announcement.js';
import type {UpstreamProxy} from '../upstream/upstream-proxy.js';

/**
 * Adds the routes with which the upstream on this host announces and withdraws itself.
 *
 * @example
 * serveUpstream(app, upstream);
 */
export const serveUpstream = (app: FastifyInstance, upstream: UpstreamProxy): void => {
	app.put('/medlar/upstream', async (req, reply) => {
		const body = parseJson(String(req.body));
		const checked = announcement.safeParse(body);
		if (!checked.success) {
			return reply.code(400).send({
				kind: faultKinds.badInput,
				what: z.prettifyError(checked.error),
				remedy: 'Correct the announcement; docs/CALLERS.md lists its fields',
			});
		}

		upstream.announce(checked.data);
		return reply.code(204).send();
	});
	app.delete('/medlar/upstream', async (_req, reply) => {
		upstream.withdraw();
		return reply.code(204).send();
	});
};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};
