import {promisify} from 'node:util';
import {Server, ServerCredentials, type handleUnaryCall} from '@grpc/grpc-js';
import {Pool} from 'undici';
import {grpcEcho} from './grpc-echo.js';
import type {StartHop} from './start-hop.js';

/** Accepts calls over gRPC and forwards them with undici. */
export const startGrpcBack: StartHop = async targetPort => {
	const pool = new Pool(`http://127.0.0.1:${targetPort}`, {pipelining: 1});
	const server = new Server();
	const pass: handleUnaryCall<Buffer, Buffer> = async (call, callback) => {
		const reply = await pool.request({path: '/', method: 'POST', body: call.request});
		callback(null, Buffer.from(await reply.body.arrayBuffer()));
	};

	server.addService(grpcEcho, {pass});
	const bind = promisify(server.bindAsync.bind(server));
	return bind('127.0.0.1:0', ServerCredentials.createInsecure());
};
