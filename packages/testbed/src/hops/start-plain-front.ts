import {createServer} from 'node:http';
import {createFramedClient} from './create-framed-client.js';
import type {StartHop} from './start-hop.js';
import {listenOnFreePort} from './listen-on-free-port.js';

/** Accepts calls with node:http and forwards them over a framed stream. */
export const startPlainFront: StartHop = async targetPort => {
	const send = createFramedClient(targetPort);
	return listenOnFreePort(
		createServer((req, res) => {
			const chunks: Buffer[] = [];
			req.on('data', (chunk: Buffer) => chunks.push(chunk));
			req.on('end', async () => {
				res.end(await send(Buffer.concat(chunks)));
			});
		}),
	);
};
