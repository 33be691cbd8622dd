import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {after, before, test} from 'node:test';
import {RoutedHost} from '../src/harness/routed-host.js';
import {Platform} from '../src/platform/platform.js';

const route = (name: string, prefix: string, kind: string) => ({
	name,
	routeKind: kind,
	targetLatencyMs: 500,
	priority: 0,
	match: {pathPrefix: prefix},
	action: {service: 'pay', timeoutMs: 5000, attempts: 2},
});

let platform: Platform;
let host: RoutedHost;

before(async () => {
	platform = await Platform.start();
	platform.write('config', 'main', {
		version: 1,
		limits: {
			maxHeaderBytes: 4000,
			maxBodyBytes: 5000,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
		listeners: [
			{
				host: 'shop.example',
				rules: [route('look', '/look/', 'idempotent'), route('pay', '/pay/', 'non_idempotent')],
			},
		],
		clusters: [{name: 'pay', healthPath: '/health', maxConns: 50}],
	});
	const hostOpts = {id: 'a', dataCentre: 'dc1', service: 'pay'};
	host = await RoutedHost.start({...hostOpts, storeUrl: platform.url});
	await host.until(async () => host.isReady());
	await host.report();
});

after(async () => {
	await host.stop();
	await platform.stop();
});

/** Sends bytes on one connection and reads until a condition holds or the connection closes. */
const exchange = async (bytes: string, isDone: (text: string) => boolean): Promise<string> => {
	const socket = net.connect(host.callerPort, '127.0.0.1');
	await once(socket, 'connect');
	socket.write(bytes);
	let text = '';
	for await (const chunk of socket) {
		text += (chunk as Buffer).toString('latin1');
		if (isDone(text)) {
			break;
		}
	}

	socket.destroy();
	return text;
};

const get = (id: string) =>
	`GET /look/${id} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ${id}\r\n\r\n`;

test('pipelined requests are answered in order, each with its own ID', async () => {
	const text = await exchange(get('p1') + get('p2') + get('p3'), received =>
		received.includes('/look/p3'),
	);
	const ids = [...text.matchAll(/^attempt-id: (\S+)/gimv)].map(([_all, id]) => id);
	assert.deepEqual(ids, ['p1', 'p2', 'p3']);
});

test('a chunked body reaches the upstream complete', async () => {
	const bodies: string[] = [];
	host.upstream.handler = (req, res) => {
		let body = '';
		req.on('data', (chunk: Buffer) => {
			body += chunk.toString();
		});
		req.on('end', () => {
			bodies.push(body);
			host.upstream.answer(req, res);
		});
	};

	const head =
		'PUT /pay/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n';
	const text = await exchange(`${head}5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n`, received =>
		received.includes('/pay/1'),
	);
	host.upstream.handler = host.upstream.answer;
	assert.match(text, /^HTTP\/1\.1 200/v);
	assert.deepEqual(bodies, ['firstsecond']);
});

const malformed: ReadonlyArray<readonly [name: string, headers: string]> = [
	['two content lengths', 'Content-Length: 2\r\nContent-Length: 3'],
	['a content length and chunked encoding', 'Content-Length: 2\r\nTransfer-Encoding: chunked'],
	['a content length that is not a number', 'Content-Length: two'],
];

/** Sends a request with these headers and another after its body; counts the executed requests. */
const sendSmuggled = async (headers: string) => {
	const ranBefore = host.upstream.executedIds.length;
	const head = `PUT /pay/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: m\r\n${headers}\r\n\r\n`;
	const text = await exchange(`${head}ab${get('smuggled')}`, () => false);
	return {text, ran: host.upstream.executedIds.length - ranBefore};
};

for (const [name, headers] of malformed) {
	test(`a request with ${name} is rejected and not executed, nor is a request smuggled in its body`, async () => {
		const {text, ran} = await sendSmuggled(headers);
		assert.match(text, /^HTTP\/1\.1 400/v);
		assert.equal(ran, 0);
	});
}

test('a caller that disconnects ends its call at the upstream', async () => {
	const socket = net.connect(host.callerPort, '127.0.0.1');
	const callClosed = new Promise<void>(resolve => {
		host.upstream.handler = (_req, res) => {
			res.once('close', resolve);
			socket.destroy();
		};
	});
	await once(socket, 'connect');
	socket.write(get('gone'));
	await callClosed;
	host.upstream.handler = host.upstream.answer;
});

test('a caller that disconnects ends all its pipelined calls at the upstream', async () => {
	const socket = net.connect(host.callerPort, '127.0.0.1');
	let running = 0;
	const allClosed = new Promise<void>(resolve => {
		host.upstream.handler = (_req, res) => {
			running++;
			res.once('close', () => {
				running--;
				if (running === 0) {
					resolve();
				}
			});
			if (running === 3) {
				socket.destroy();
			}
		};
	});
	await once(socket, 'connect');
	socket.write(get('g1') + get('g2') + get('g3'));
	await allClosed;
	host.upstream.handler = host.upstream.answer;
});

test('a pipelined request that fails does not affect those behind it', async () => {
	host.upstream.handler = (req, res) => {
		if (req.url === '/look/f1') {
			req.socket.destroy();
		} else {
			host.upstream.answer(req, res);
		}
	};

	const text = await exchange(get('f1') + get('f2'), received => received.includes('/look/f2'));
	host.upstream.handler = host.upstream.answer;
	assert.deepEqual(
		[...text.matchAll(/^HTTP\/1\.1 (\d+)/gimv)].map(([_all, status]) => status),
		['502', '200'],
	);
});

test('requests pipelined beyond a bound are refused as not run', async () => {
	const sent = 200;
	const ids = Array.from({length: sent}, (_, index) => `b${index}`);
	const held: Array<() => void> = [];
	host.upstream.handler = (req, res) => {
		held.push(() => {
			host.upstream.answer(req, res);
		});
	};

	const done = exchange(
		ids.map(id => get(id)).join(''),
		received => [...received.matchAll(/HTTP\/1\.1/giv)].length === sent,
	);
	await host.until(() => held.length >= 10);
	host.upstream.handler = host.upstream.answer;
	const started = held.length;
	for (const release of held) {
		release();
	}

	const statuses = [...(await done).matchAll(/HTTP\/1\.1 (\d+)/giv)].map(
		([_all, status]) => status,
	);
	assert.ok(statuses.filter(status => status === '503').length >= sent - 64);
	assert.ok(statuses.filter(status => status === '200').length >= started);
});
