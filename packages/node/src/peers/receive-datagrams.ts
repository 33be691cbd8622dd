import type {Socket} from 'node:dgram';
import {once} from 'node:events';
import {type Log, errorText, events} from '@medlarsaddle/core';
import type {Address, Datagram} from '@medlarsaddle/members';
import type {Task} from '@medlarsaddle/supervise';
import {codec} from '@medlarsaddle/wire';

type Deps = {
	readonly socket: Socket;
	readonly log: Log;
	readonly receive: (datagram: Datagram, from: Address) => void;
	readonly onBytes: (count: number) => void;
};

/**
 * Task that receives datagrams. Bytes that are not a datagram of this protocol are dropped.
 *
 * @example
 * const task = receiveDatagrams({socket, log, receive: gossip.receive, onBytes});
 */
export const receiveDatagrams =
	({socket, log, receive, onBytes}: Deps): Task =>
	async (signal, ready) => {
		const onMessage = (bytes: Buffer, {address, port}: {address: string; port: number}) => {
			onBytes(bytes.length);
			try {
				const datagram = codec.decode(bytes) as Datagram;
				if (Array.isArray(datagram?.rumors) && Array.isArray(datagram.digests)) {
					receive(datagram, {host: address, port});
				}
			} catch (error) {
				log(events.peerProtocolError, {from: `${address}:${port}`, error: errorText(error)});
			}
		};

		socket.on('message', onMessage);
		ready();
		if (!signal.aborted) {
			await once(signal, 'abort');
		}

		socket.off('message', onMessage);
		socket.close();
	};
