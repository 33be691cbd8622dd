import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	ByteReader,
	MessageError,
	formatMessage,
	messageFaults,
	readRequest,
	readResponse,
} from '../src/index.js';
import {socketPair} from './socket-pair.js';

const limits = {maxHeadBytes: 500, maxBodyBytes: 100};

/** Reads one request from bytes that arrive in the given pieces, and what is left after it. */
const requestFrom = async (pieces: readonly string[]) => {
	const {near, far} = await socketPair();
	const reader = ByteReader.over(near);
	for (const piece of pieces) {
		far.write(piece, 'latin1');
	}

	far.end();
	try {
		const req = await readRequest(reader, limits);
		const rest = await reader.readChunk();
		return {req, rest: rest?.toString('latin1')};
	} catch (error) {
		return {fault: error instanceof MessageError ? error.kind : String(error)};
	} finally {
		near.destroy();
		far.destroy();
	}
};

const responseFrom = async (bytes: string, method = 'GET') => {
	const {near, far} = await socketPair();
	const reader = ByteReader.over(near);
	far.end(bytes, 'latin1');
	try {
		const {response, keepsAlive} = await readResponse(reader, {...limits, method});
		return {
			status: response.status,
			body: Buffer.from(response.body).toString('latin1'),
			keepsAlive,
		};
	} catch (error) {
		return {fault: error instanceof MessageError ? error.kind : String(error)};
	} finally {
		near.destroy();
		far.destroy();
	}
};

test('a request is read the same however its bytes are split', async () => {
	const text =
		'PUT /a?b HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n' +
		'5;x=1\r\nfirst\r\n6\r\nsecond\r\n0\r\nX-Trailer: 1\r\n\r\nnext';
	await fc.assert(
		fc.asyncProperty(
			fc.uniqueArray(fc.integer({min: 1, max: text.length - 1}), {maxLength: 6}),
			async cuts => {
				const ends = [...cuts.toSorted((a, b) => a - b), text.length];
				const pieces = ends.map((end, index) => text.slice(ends[index - 1] ?? 0, end));
				const {req, rest} = await requestFrom(pieces);
				assert.equal(req?.target, '/a?b');
				assert.equal(Buffer.from(req.body).toString(), 'firstsecond');
				assert.equal(rest, 'next');
			},
		),
		{seed: 1, numRuns: 40},
	);
});

test('arbitrary bytes are read as a request or fail as a message, and nothing else', async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(
				fc.oneof(
					fc.constantFrom('GET / HTTP/1.1', '\r\n', '\r\n\r\n', 'Content-Length: 3', ':', ' '),
					fc.constantFrom('Transfer-Encoding: chunked', '5\r\n', '0\r\n\r\n', '\n', '\u0000'),
					fc.string({unit: 'binary', maxLength: 8}),
				),
				{maxLength: 12},
			),
			async parts => {
				const {req, fault} = await requestFrom([parts.join('')]);
				assert.ok(req !== undefined || fault === undefined || kinds.has(fault), fault);
			},
		),
		{seed: 2, numRuns: 200},
	);
});

const kinds = new Set<string>(Object.values(messageFaults));

const malformedRequests: ReadonlyArray<readonly [name: string, text: string, fault: string]> = [
	['a bare line feed', 'GET / HTTP/1.1\nHost: a\r\n\r\n', 'malformed'],
	['a folded header', 'GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n', 'malformed'],
	['a space before the colon', 'GET / HTTP/1.1\r\nA : b\r\n\r\n', 'malformed'],
	['a control character', 'GET / HTTP/1.1\r\nA: b\u0000\r\n\r\n', 'malformed'],
	['another version', 'GET / HTTP/2.0\r\n\r\n', 'malformed'],
	[
		'a length given twice',
		'GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na',
		'malformed',
	],
	[
		'an encoding that is not chunked',
		'GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n',
		'malformed',
	],
	[
		'a chunk length that is no number',
		'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n',
		'malformed',
	],
	[
		'a chunk that is longer than stated',
		'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n',
		'malformed',
	],
	['a large head', `GET / HTTP/1.1\r\nA: ${'b'.repeat(600)}\r\n\r\n`, 'head-too-large'],
	['a large body', 'GET / HTTP/1.1\r\nContent-Length: 101\r\n\r\n', 'too-large'],
	[
		'a large chunked body',
		'GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n',
		'too-large',
	],
	[
		'trailers without end',
		`GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n${'a: b\r\n'.repeat(11_000)}`,
		'malformed',
	],
	['a body that ends early', 'GET / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab', 'cut-short'],
	['a head that ends early', 'GET / HTTP/1.1\r\nHost', 'cut-short'],
];

for (const [name, text, fault] of malformedRequests) {
	test(`a request with ${name} is ${fault}`, async () => {
		assert.deepEqual(await requestFrom([text]), {fault});
	});
}

const responses: ReadonlyArray<{
	readonly name: string;
	readonly text: string;
	readonly method?: string;
	readonly expected: object;
}> = [
	{
		name: 'an interim response before the final one is skipped',
		text: 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
		expected: {status: 200, body: 'ok', keepsAlive: true},
	},
	{
		name: 'a response to HEAD has no body',
		text: 'HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n',
		method: 'HEAD',
		expected: {status: 200, body: '', keepsAlive: true},
	},
	{
		name: 'a response that closes is the last one on its connection',
		text: 'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok',
		expected: {status: 200, body: 'ok', keepsAlive: false},
	},
	{
		name: 'a response without a length ends with its connection',
		text: 'HTTP/1.1 200\r\n\r\nok',
		expected: {status: 200, body: 'ok', keepsAlive: false},
	},
	{
		name: 'interim responses without end are given up',
		text: 'HTTP/1.1 100 Continue\r\n\r\n'.repeat(20),
		expected: {fault: 'malformed'},
	},
	{
		name: 'a body without end is given up at the limit',
		text: `HTTP/1.1 200 OK\r\n\r\n${'x'.repeat(101)}`,
		expected: {fault: 'too-large'},
	},
	{
		name: 'a head without end is given up at the limit',
		text: `HTTP/1.1 200 OK\r\n${'x: y\r\n'.repeat(200)}`,
		expected: {fault: 'too-large'},
	},
	{
		name: 'a length beside chunked encoding is malformed',
		text: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok',
		expected: {fault: 'malformed'},
	},
];

for (const status of ['000', '099', '101', '600', '999', '20', '2000']) {
	for (const before of ['', 'HTTP/1.1 100 Continue\r\n\r\n']) {
		const where = before === '' ? 'at once' : 'behind an interim response';
		test(`a status of ${status} ${where} is passed on as an answer`, async () => {
			const text = `${before}HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\nok`;
			assert.deepEqual(await responseFrom(text), {fault: 'malformed'});
		});
	}
}

for (const {name, text, method, expected} of responses) {
	test(name, async () => {
		assert.deepEqual(await responseFrom(text, method), expected);
	});
}

// A peer that never stops sending must not fill the memory: what is not read stays in the network.
test('a connection is paused while its received bytes are not read', async () => {
	const {near, far} = await socketPair();
	const reader = ByteReader.over(near);
	const piece = Buffer.alloc(64 * 1024);
	while (far.write(piece)) {
		// Fills the buffers of the sending side.
	}

	for (let pieces = 0; pieces < 100; pieces++) {
		far.write(piece);
	}

	await once(near, 'pause');
	assert.ok(reader.bufferedBytes < 1024 * 1024);
	near.destroy();
	far.destroy();
});

test('a message is formatted as one buffer', () => {
	const bytes = formatMessage('GET / HTTP/1.1', ['host', 'a'], Buffer.from('b'));
	assert.equal(bytes.toString(), 'GET / HTTP/1.1\r\nhost: a\r\n\r\nb');
});
