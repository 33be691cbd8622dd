import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {createSystemClock} from '@medlarsaddle/core';
import {Connection} from '../src/upstream/connection.js';

type Case = {
	readonly name: string;
	/** What the upstream does once it has read a call. */
	readonly serve: (socket: net.Socket) => void;
	/** Body of the answer; undefined when the call has to fail. */
	readonly body: string | undefined;
};

const later = (act: () => void) => {
	setImmediate(() => {
		setImmediate(act);
	});
};

const cases: Case[] = [
	{
		name: 'an answer without a length that ends with its connection is whole',
		serve(socket) {
			socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
		},
		body: 'whole',
	},
	{
		name: 'an answer without a length whose connection is reset is not whole',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
				later(() => socket.resetAndDestroy());
			});
		},
		body: undefined,
	},
	{
		name: 'an answer without a length that announces its close and is reset is not whole',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf', () => {
				later(() => socket.resetAndDestroy());
			});
		},
		body: undefined,
	},
	{
		name: 'an answer without a length that is reset together with its last bytes is not whole',
		serve(socket) {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
			socket.resetAndDestroy();
		},
		body: undefined,
	},
	{
		name: 'an answer with a length that ends early is not whole',
		serve(socket) {
			socket.end('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf');
		},
		body: undefined,
	},
	{
		name: 'a chunked answer that ends early is not whole',
		serve(socket) {
			socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n');
		},
		body: undefined,
	},
	{
		name: 'bytes that are no answer are a failure',
		serve(socket) {
			socket.end('\u0000\u0001garbage\r\n\r\n');
		},
		body: undefined,
	},
	{
		name: 'bytes behind a whole answer belong to no call',
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
			connectMs: 1000,
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
