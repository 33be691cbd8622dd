import {connect} from 'node:net';
import {setTimeout} from 'node:timers/promises';

/** A head that is costly to read where work grows faster than the bytes. */
const oversizedHead = `GET / HTTP/1.1\r\nA: a${' '.repeat(60_000)}b\r\n\r\n`;

/** A head that comes in pieces of a few bytes, with a pause after each, in milliseconds. */
const drippingHead = `GET / HTTP/1.1\r\nA: ${' '.repeat(2000)}`;
const dripBytes = 20;
const dripPauseMs = 10;

/**
 * Sends requests to a node that no sound caller sends: one with an oversized head, and one whose head
 * drips in and never ends.
 *
 * @example
 * await sendOddRequests(host.relays.callers.port);
 */
export const sendOddRequests = async (port: number): Promise<void> => {
	const socket = connect({host: '127.0.0.1', port});
	socket.on('error', () => {});
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			resolve();
		});
	});
	socket.resume();
	socket.write(oversizedHead);
	for (let start = 0; start < drippingHead.length && !socket.destroyed; start += dripBytes) {
		socket.write(drippingHead.slice(start, start + dripBytes));
		await setTimeout(dripPauseMs);
	}

	socket.destroy();
	await closed;
};
