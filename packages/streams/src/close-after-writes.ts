import type {Socket} from 'node:net';
import type {Clock} from '@medlarsaddle/core';

/** Time for the peer to read what was written. */
const lingerMs = 1000;

/**
 * Ends a connection once its last bytes are written. Bytes that still arrive are read and dropped,
 * since closing a connection with unread bytes resets it, which could take the last response away.
 *
 * @example
 * closeAfterWrites(socket, clock);
 */
export const closeAfterWrites = (socket: Socket, clock: Clock): void => {
	if (socket.destroyed) {
		return;
	}

	const cancel = clock.after(lingerMs, () => {
		socket.destroy();
	});
	socket.once('close', cancel);
	socket.end();
	socket.resume();
};
