import type {AddressInfo} from 'node:net';
import fastify from 'fastify';
import {createFramedClient} from './create-framed-client.js';
import type {StartHop} from './start-hop.js';

/** Accepts calls with fastify and forwards them over a framed stream. */
export const startFastifyFront: StartHop = async targetPort => {
	const send = createFramedClient(targetPort);
	const app = fastify();
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.post('*', async ({body}, reply) => reply.send(Buffer.from(await send(body as Buffer))));
	await app.listen({host: '127.0.0.1', port: 0});
	return (app.server.address() as AddressInfo).port;
};
