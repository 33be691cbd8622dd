import {once} from 'node:events';
import net from 'node:net';

/** Two ends of one connection over loopback. */
type Pair = {
	readonly near: net.Socket;
	readonly far: net.Socket;
};

/**
 * Connects two sockets; the far end is for the test, and errors on it are expected.
 *
 * @example
 * const {near, far} = await socketPair();
 */
export const socketPair = async (): Promise<Pair> => {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const accepted = once(server, 'connection') as Promise<[net.Socket]>;
	const far = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
	far.on('error', () => {});
	const [near] = await accepted;
	server.close();
	return {near, far};
};
