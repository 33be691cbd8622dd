import {once} from 'node:events';
import type {AddressInfo, Server} from 'node:net';

/**
 * Listens on a free loopback port and returns it.
 *
 * @example
 * const port = await listeningPort(server);
 */
export const listeningPort = async (server: Server): Promise<number> => {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};
