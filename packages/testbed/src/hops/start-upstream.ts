import {createServer} from 'node:http';
import type {StartHop} from './start-hop.js';
import {listenOnFreePort} from './listen-on-free-port.js';

/** Echoes each body at once. */
export const startUpstream: StartHop = async () =>
	listenOnFreePort(
		createServer((req, res) => {
			const chunks: Buffer[] = [];
			req.on('data', (chunk: Buffer) => chunks.push(chunk));
			req.on('end', () => {
				res.end(Buffer.concat(chunks));
			});
		}),
	);
