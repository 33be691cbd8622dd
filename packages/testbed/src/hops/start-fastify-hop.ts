import type {AddressInfo} from 'node:net';
import fastify from 'fastify';
import {Pool} from 'undici';
import type {StartHop} from './start-hop.js';

/** Accepts calls with fastify and forwards them with undici. */
export const startFastifyHop: StartHop = async targetPort => {
	const pool = new Pool(`http://127.0.0.1:${targetPort}`, {pipelining: 1});
	const app = fastify();
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.post('*', async ({body, url}, reply) => {
		const answer = await pool.request({path: url, method: 'POST', body: body as Buffer});
		return reply.code(answer.statusCode).send(Buffer.from(await answer.body.arrayBuffer()));
	});
	await app.listen({host: '127.0.0.1', port: 0});
	return (app.server.address() as AddressInfo).port;
};
