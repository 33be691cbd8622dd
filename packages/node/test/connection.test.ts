import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {createSystemClock} from '@medlarsaddle/core';
import {Connection} from '../src/upstream/connection.js';

// An answer without a length ends with its connection. These tests guard against a reset or early
// close being taken for that end, which would pass on a truncated answer as complete.
type Case = {
	readonly name: string;
	/** How the upstream replies once it has read a call. */
	readonly serve: (socket: net.Socket) => void;
	/** Expected body of the answer; undefined when the call must fail. */
	readonly body: string | undefined;
};

const afterTwoTurns = (act: () => void) => {
	setImmediate(() => {
		setImmediate(act);
	});
};

const cases: Case[] = [
	{
		name: 'an answer without a length is complete when its connection ends',
		serve(socket) {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		},
		body: 'whole',
	},
	{
		name: 'an answer without a length is rejected when its connection is reset',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
				afterTwoTurns(() => socket.resetAndDestroy());
			});
		},
		body: undefined,
	},
	{
		name: 'an answer without a length is rejected when a connection marked as closing is reset',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => {
				afterTwoTurns(() => socket.resetAndDestroy());
			});
		},
		body: undefined,
	},
	{
		name: 'an answer without a length is rejected when a reset directly follows its last bytes',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
			socket.resetAndDestroy();
		},
		body: undefined,
	},
	{
		name: 'an answer shorter than its length is rejected',
		serve(socket) {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
		},
		body: undefined,
	},
	{
		name: 'a chunked answer without its last chunk is rejected',
		serve(socket) {
			socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n');
		},
		body: undefined,
	},
	{
		name: 'a malformed answer is rejected',
		serve(socket) {
			socket.end('\u0000\u0001garbage\r\n\r\n');
		},
		body: undefined,
	},
	{
		name: 'bytes after a complete answer are ignored',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\n');
		},
		body: 'whole',
	},
];

for (const {name, serve, body} of cases) {
	test(name, async () => {
		const server = net.createServer(socket => {
			socket.on('error', () => {});
			socket.once('data', () => {
				serve(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as net.AddressInfo;
		const connection = Connection.create({
			origin: `http://127.0.0.1:${port}`,
			clock: createSystemClock(),
			maxBodyBytes: 1000,
			connectTimeoutMs: 1000,
		});
		const answer = await connection.send({
			method: 'GET',
			path: '/',
			headers: [],
			body: new Uint8Array(),
			signal: new AbortController().signal,
		});
		const text = answer.isOk() ? Buffer.from(answer.value.body).toString() : undefined;
		assert.equal(text, body);
		connection.destroy();
		server.close();
	});
}
