import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {createSystemClock, faultKinds} from '@medlarsaddle/core';
import {Connection} from '../src/upstream/connection.js';

const call = {method: 'GET', path: '/', headers: [], body: new Uint8Array()};

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
	{
		name: 'a head without end is given up',
		serve: writeWithoutEnd('HTTP/1.1 200 OK\r\n', 'x: y\r\n'),
		body: undefined,
	},
	{
		name: 'a body without end is given up',
		serve: writeWithoutEnd('HTTP/1.1 200 OK\r\n\r\n', 'bytes'),
		body: undefined,
	},
	{
		name: 'chunks without end are given up',
		serve: writeWithoutEnd('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n', '2\r\nab\r\n'),
		body: undefined,
	},
	{
		name: 'bytes without end that are no answer are given up',
		serve: writeWithoutEnd('', '\u0000'),
		body: undefined,
	},
];

/** Lets a server listen and returns a connection to it. */
async function connectTo(server: net.Server): Promise<Connection> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	return Connection.create({
		origin: `http://127.0.0.1:${port}`,
		clock: createSystemClock(),
		maxBodyBytes: 1000,
		connectTimeoutMs: 1000,
	});
}

/** Writes the piece again and again, as fast as it is read, until the connection is closed. */
function writeWithoutEnd(start: string, piece: string) {
	return (socket: net.Socket) => {
		socket.write(start);
		const pieces = piece.repeat(1000);
		const write = () => {
			while (!socket.destroyed && socket.write(pieces)) {
				// Until the buffers are full.
			}
		};

		socket.on('drain', write);
		write();
	};
}

for (const {name, serve, body} of cases) {
	test(name, async () => {
		const server = net.createServer(socket => {
			socket.on('error', () => {});
			socket.once('data', () => {
				serve(socket);
			});
		});
		const connection = await connectTo(server);
		const answer = await connection.send(call);
		const text = answer.isOk() ? Buffer.from(answer.value.body).toString() : undefined;
		assert.equal(text, body);
		connection.destroy();
		server.close();
	});
}

// A connection that goes silent under an answer without a length is closed by this process, at the
// call's deadline or when the upstream is replaced. That end was taken for the end of the answer.
const givenUp: ReadonlyArray<{
	readonly name: string;
	readonly giveUp: (connection: Connection) => void;
	readonly fault: string;
}> = [
	{
		name: 'an answer without a length is rejected when its call is given up on the way',
		giveUp(connection) {
			connection.abort();
		},
		fault: faultKinds.cancelled,
	},
	{
		name: 'an answer without a length is rejected when this process closes its connection',
		giveUp(connection) {
			connection.destroy();
		},
		fault: faultKinds.upstreamFailed,
	},
];

const half = 'HTTP/1.1 200 OK\r\n\r\nhalf';

for (const {name, giveUp, fault} of givenUp) {
	test(name, async t => {
		const server = net.createServer(socket => {
			socket.on('error', () => {});
			socket.once('data', () => {
				socket.write(half);
			});
		});
		t.after(() => server.close());
		const connection = await connectTo(server);
		const sending = connection.send(call);
		while (connection.receivedBytes < half.length) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		giveUp(connection);
		const answer = await sending;
		assert.ok(answer.isErr(), 'the half was passed on as a whole answer');
		assert.equal(answer.error.fault.kind, fault);
		assert.equal(answer.error.wasClosed, false);
		assert.equal(answer.error.receivedBytes, half.length);
	});
}

// An upstream in trouble may send a second copy of an answer at any time; the next call on the
// connection would take it for its own.
test('a connection on which bytes arrive between two calls is not used again', async () => {
	const sockets: net.Socket[] = [];
	const server = net.createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {});
		socket.on('data', () => {
			socket.write(answer);
		});
	});
	const connection = await connectTo(server);
	assert.ok((await connection.send(call)).isOk());
	assert.ok(connection.isUsable);
	sockets[0]!.write(answer);
	await once(sockets[0]!, 'close');
	assert.equal(connection.isUsable, false);
	const next = await connection.send(call);
	assert.ok(next.isErr() && !next.error.mayHaveRun);
	server.close();
});

const answer = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ncopy';
