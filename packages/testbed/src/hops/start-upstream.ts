import {createServer} from 'node:http';
import type {HopServer} from './hop-server.js';
import {listeningPort} from './listening-port.js';

/** Answers at once with the body it got. */
export const startUpstream: HopServer = async () =>
	listeningPort(
		createServer((req, res) => {
			const chunks: Buffer[] = [];
			req.on('data', (chunk: Buffer) => chunks.push(chunk));
			req.on('end', () => {
				res.end(Buffer.concat(chunks));
			});
		}),
	);
