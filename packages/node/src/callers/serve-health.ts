import type {FastifyInstance} from 'fastify';
import type {Registry} from 'prom-client';

type Deps = {
	readonly registry: Registry;
	readonly isReady: () => boolean;
};

/**
 * Adds the routes for liveness, readiness and metrics.
 *
 * @example
 * serveHealth(app, {registry, isReady});
 */
export const serveHealth = (app: FastifyInstance, {registry, isReady}: Deps): void => {
	app.get('/livez', async () => ({live: true}));
	app.get('/readyz', async (_req, reply) =>
		reply.code(isReady() ? 200 : 503).send({ready: isReady()}),
	);
	app.get('/metrics', async (_req, reply) =>
		reply.header('content-type', registry.contentType).send(await registry.metrics()),
	);
};
