import {connect, createServer} from 'node:net';
import type {HopServer} from './hop-server.js';
import {listeningPort} from './listening-port.js';

/** Passes bytes on without reading them: the least that a hop can cost in Node.js. */
export const startTcpRelay: HopServer = async targetPort =>
	listeningPort(
		createServer({noDelay: true}, socket => {
			const target = connect({port: targetPort, host: '127.0.0.1', noDelay: true});
			socket.pipe(target).pipe(socket);
			socket.on('error', () => target.destroy());
			target.on('error', () => socket.destroy());
		}),
	);
