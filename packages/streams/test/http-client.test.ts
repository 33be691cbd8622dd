import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {createSystemClock} from '@medlarsaddle/core';
import {ConnectionError, HttpClient} from '../src/index.js';

let server: net.Server;
let sockets: net.Socket[];
let answerTo: (request: string, socket: net.Socket) => void;
let client: HttpClient;

beforeEach(async () => {
	sockets = [];
	server = net.createServer(socket => {
		sockets.push(socket);
		socket.on('error', () => {});
		socket.on('data', (bytes: Buffer) => {
			answerTo(bytes.toString(), socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	client = HttpClient.create({
		origin: `http://127.0.0.1:${port}`,
		clock: createSystemClock(),
		maxBodyBytes: 1000,
		connectTimeoutMs: 1000,
		maxConnections: 2,
	});
});

afterEach(() => {
	client.destroy();
	server.close();
});

const ok = (body: string) => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const get = async (path: string, signal = new AbortController().signal) => {
	const {body} = await client.request({
		method: 'GET',
		path,
		headers: [],
		body: new Uint8Array(),
		signal,
	});
	return Buffer.from(body).toString();
};

test('requests one after the other use one connection', async () => {
	answerTo = (req, socket) => socket.write(ok(req.split(' ')[1]!));
	assert.equal(await get('/1'), '/1');
	assert.equal(await get('/2'), '/2');
	assert.equal(sockets.length, 1);
});

// A router that forgets connections forgets all of them, and each would cost a timeout of its own.
test('after a request without an answer the next one waits on another silent connection', async () => {
	const silent = new Set<net.Socket>();
	answerTo = (req, socket) => {
		if (!silent.has(socket)) {
			socket.write(ok(req.split(' ')[1]!));
		}
	};

	await Promise.all([get('/1'), get('/2')]);
	assert.equal(sockets.length, 2);
	for (const socket of sockets) {
		silent.add(socket);
	}

	await assert.rejects(get('/3', AbortSignal.timeout(50)));
	assert.equal(await get('/4', AbortSignal.timeout(2000)), '/4');
});

// The answer to a request that was given up may still come; it must not be read as the next one.
test('the connection of a request that was given up is not used again', async () => {
	const abort = new AbortController();
	answerTo = (req, socket) => {
		if (req.includes('/late')) {
			abort.abort();
			socket.write(ok('late'));
		} else {
			socket.write(ok('own'));
		}
	};

	await assert.rejects(
		get('/late', abort.signal),
		error => error instanceof ConnectionError && error.isAborted && error.isSent,
	);
	assert.equal(await get('/next'), 'own');
	assert.equal(sockets.length, 2);
});

test('a server that cannot be reached has not received the request', async () => {
	const {port} = server.address() as net.AddressInfo;
	server.close();
	const unreachable = HttpClient.create({
		origin: `http://127.0.0.1:${port}`,
		clock: createSystemClock(),
		maxBodyBytes: 1000,
		connectTimeoutMs: 1000,
		maxConnections: 2,
	});
	const {signal} = new AbortController();
	await assert.rejects(
		unreachable.request({method: 'GET', path: '/', headers: [], body: new Uint8Array(), signal}),
		error => error instanceof ConnectionError && !error.isSent,
	);
});

test('requests beyond the number of connections wait for one', async () => {
	let received = 0;
	const held: Array<() => void> = [];
	answerTo = (req, socket) => {
		received++;
		held.push(() => socket.write(ok(req.split(' ')[1]!)));
		if (received >= 2) {
			for (const answer of held.splice(0)) {
				answer();
			}
		}
	};

	assert.deepEqual(await Promise.all([get('/1'), get('/2'), get('/3')]), ['/1', '/2', '/3']);
	assert.equal(sockets.length, 2);
});
