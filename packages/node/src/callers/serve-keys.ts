import type {FastifyInstance} from 'fastify';

const maxKeys = 1000;

/**
 * Adds the route that issues idempotency keys.
 *
 * @example
 * serveKeys(app, () => ledger.issue());
 */
export const serveKeys = (app: FastifyInstance, issueKey: () => string): void => {
	app.post<{Querystring: {count?: string}}>('/medlar/keys', async req => {
		const count = Math.min(maxKeys, Math.max(1, Math.floor(Number(req.query.count ?? 1)) || 1));
		return {keys: Array.from({length: count}, issueKey)};
	});
};
