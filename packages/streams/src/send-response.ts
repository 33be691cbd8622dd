import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@medlarsaddle/core';
import type {HttpResponse} from './http-response.js';
import {writeMessage} from './write-message.js';

type Opts = {
	readonly socket: Socket;
	readonly clock: Clock;
	readonly response: HttpResponse;
	/** Whether the response is the last one on the connection. */
	readonly closes: boolean;
};

/** Bytes of a body that are given to the socket at a time. */
const sliceBytes = 256 * 1024;

/** Time for a caller that reads slowly to take what the socket buffers. */
const stallMs = 10_000;

/**
 * Writes a response and resolves when the socket can take the next one. A caller that does not read
 * in time is disconnected, so that it holds no memory.
 *
 * @example
 * await sendResponse({socket, clock, response, closes: false});
 */
export const sendResponse = async ({
	socket,
	clock,
	response: {status, headers, body},
	closes,
}: Opts): Promise<void> => {
	const lengthHeader = mayHaveBody(status) ? ['content-length', String(body.length)] : [];
	const closeHeader = closes ? ['connection', 'close'] : [];
	const firstLine = `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`;
	const allHeaders = [...headers, ...lengthHeader, ...closeHeader];
	const start = body.subarray(0, sliceBytes);
	if (!writeMessage(socket, firstLine, allHeaders, start)) {
		await drained(socket, clock);
	}

	for (let sent = start.length; sent < body.length && !socket.destroyed; sent += sliceBytes) {
		if (!socket.write(body.subarray(sent, sent + sliceBytes))) {
			await drained(socket, clock);
		}
	}
};

const mayHaveBody = (status: number): boolean => status !== 204 && status !== 304 && status >= 200;

const drained = async (socket: Socket, clock: Clock): Promise<void> =>
	new Promise(resolve => {
		const settle = () => {
			cancel();
			socket.off('drain', settle);
			socket.off('close', settle);
			resolve();
		};

		const cancel = clock.after(stallMs, () => {
			socket.destroy();
		});
		socket.once('drain', settle);
		socket.once('close', settle);
		if (socket.destroyed) {
			settle();
		}
	});
