import {createServer} from 'node:http';
import {framedClient} from './framed-client.js';
import type {HopServer} from './hop-server.js';
import {listeningPort} from './listening-port.js';

/** Takes calls in with node:http and passes them on over a framed stream. */
export const startPlainFront: HopServer = async targetPort => {
	const send = framedClient(targetPort);
	return listeningPort(
		createServer((req, res) => {
			const chunks: Buffer[] = [];
			req.on('data', (chunk: Buffer) => chunks.push(chunk));
			req.on('end', async () => {
				res.end(await send(Buffer.concat(chunks)));
			});
		}),
	);
};
