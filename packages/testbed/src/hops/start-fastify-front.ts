import type {AddressInfo} from 'node:net';
import fastify from 'fastify';
import {framedClient} from './framed-client.js';
import type {HopServer} from './hop-server.js';

/** Takes calls in with fastify and passes them on over a framed stream. */
export const startFastifyFront: HopServer = async targetPort => {
	const send = framedClient(targetPort);
	const app = fastify();
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.post('*', async ({body}, reply) => reply.send(Buffer.from(await send(body as Buffer))));
	await app.listen({host: '127.0.0.1', port: 0});
	return (app.server.address() as AddressInfo).port;
};
