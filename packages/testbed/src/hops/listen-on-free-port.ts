import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';

/**
 * Makes a server listen on a free loopback port; resolves with the port.
 *
 * @example
 * const port = await listenOnFreePort(server);
 */
export const listenOnFreePort = async (server: Server): Promise<number> => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};
