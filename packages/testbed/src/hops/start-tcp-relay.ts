import {connect, createServer} from 'node:net';
import type {StartHop} from './start-hop.js';
import {listenOnFreePort} from './listen-on-free-port.js';

/** Relays bytes without parsing them: the lowest cost of a hop in Node.js. */
export const startTcpRelay: StartHop = async targetPort =>
	listenOnFreePort(
		createServer({noDelay: true}, socket => {
			const target = connect({port: targetPort, host: '127.0.0.1', noDelay: true});
			socket.pipe(target).pipe(socket);
			socket.on('error', () => target.destroy());
			target.on('error', () => socket.destroy());
		}),
	);
