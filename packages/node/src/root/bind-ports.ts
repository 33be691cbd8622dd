import dgram from 'node:dgram';
import {once} from 'node:events';
import net from 'node:net';
import type {Settings} from '../settings/settings.js';

type BoundPorts = {
	readonly peerServer: net.Server;
	readonly datagrams: dgram.Socket;
	readonly peerPort: number;
};

const maxBindAttempts = 20;

/**
 * Binds the peer port for TCP and the same number for UDP. With port 0 it tries until it finds a
 * number that is free for both.
 *
 * @example
 * const {peerPort} = await bindPorts(settings);
 */
export const bindPorts = async ({
	host,
	streamHost = host,
	peerPort,
}: Settings): Promise<BoundPorts> => {
	for (let attempt = 1; ; attempt++) {
		const peerServer = net.createServer();
		peerServer.listen(peerPort, streamHost);
		await once(peerServer, 'listening');
		const {port} = peerServer.address() as net.AddressInfo;
		const datagrams = dgram.createSocket('udp4');
		try {
			datagrams.bind(port, host);
			await once(datagrams, 'listening');
			return {peerServer, datagrams, peerPort: port};
		} catch (error) {
			peerServer.close();
			datagrams.close();
			if (peerPort !== 0 || attempt === maxBindAttempts) {
				throw error;
			}
		}
	}
};
