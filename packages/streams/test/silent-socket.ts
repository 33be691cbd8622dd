import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';

/** A socket that receives just what a test emits as `data`. */
type SilentSocket = Socket & {readonly emit: EventEmitter['emit']};

/**
 * Creates a socket without a connection.
 *
 * @example
 * const socket = silentSocket();
 * socket.emit('data', Buffer.from('GET'));
 */
export const silentSocket = (): SilentSocket =>
	Object.assign(new EventEmitter(), {
		remoteAddress: '127.0.0.1',
		isPaused: () => false,
		pause() {},
		resume() {},
		setNoDelay() {},
	}) as unknown as SilentSocket;
