import type {AddressInfo} from 'node:net';
import {type ServiceError, credentials, makeGenericClientConstructor} from '@grpc/grpc-js';
import fastify from 'fastify';
import {grpcEcho} from './grpc-echo.js';
import type {StartHop} from './start-hop.js';

type Pass = (
	body: Buffer,
	callback: (error: ServiceError | undefined, reply: Buffer) => void,
) => void;

/** Accepts calls with fastify and forwards them over gRPC. */
export const startGrpcFront: StartHop = async targetPort => {
	const client = new (makeGenericClientConstructor(grpcEcho, 'Echo'))(
		`127.0.0.1:${targetPort}`,
		credentials.createInsecure(),
	);
	const pass = (client.pass as unknown as Pass).bind(client);
	const app = fastify();
	app.removeAllContentTypeParsers();
	app.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) => {
		done(null, body);
	});
	app.post('*', async ({body}, reply) => {
		const answer = await new Promise<Buffer>((resolve, reject) => {
			pass(body as Buffer, (error, value) => {
				if (error) {
					reject(error);
				} else {
					resolve(value);
				}
			});
		});
		return reply.send(answer);
	});
	await app.listen({host: '127.0.0.1', port: 0});
	return (app.server.address() as AddressInfo).port;
};
