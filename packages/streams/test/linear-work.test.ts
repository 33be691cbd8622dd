import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {test} from 'node:test';
import {ByteReader, MessageError, messageFaults, readRequest, readResponse} from '../src/index.js';
import {countCopiedBytes} from './count-copied-bytes.js';
import {silentSocket} from './silent-socket.js';

// Work that grows faster than the bytes lets one connection stop the process for seconds.

const limits = {maxHeadBytes: 64 * 1024, maxBodyBytes: 1024 * 1024};

/** Chunks of a body that may be read before others get their turn. */
const maxChunksPerTurn = 1000;

/** Copies for each received byte that a reader may make on average. */
const maxCopies = 4;

/** Delivers a text in pieces, each in a turn of its own. */
const deliver = async (
	reader: {readonly emit: (name: 'data', chunk: Buffer) => boolean},
	text: string,
	pieceBytes: number,
) => {
	for (let start = 0; start < text.length; start += pieceBytes) {
		reader.emit('data', Buffer.from(text.slice(start, start + pieceBytes), 'latin1'));
		await setImmediate();
	}
};

const slowMessages: ReadonlyArray<{
	readonly name: string;
	readonly text: string;
	readonly read: (reader: ByteReader) => Promise<unknown>;
}> = [
	{
		name: 'the head of a request that drips in',
		text: `GET / HTTP/1.1\r\nA: ${'b'.repeat(16_000)}\r\n\r\n`,
		read: async reader => readRequest(reader, limits),
	},
	{
		name: 'empty lines before a request that drip in',
		text: `${'\r\n'.repeat(8000)}GET / HTTP/1.1\r\n\r\n`,
		read: async reader => readRequest(reader, limits),
	},
	{
		name: 'a body that drips in',
		text: `POST / HTTP/1.1\r\nContent-Length: 16000\r\n\r\n${'b'.repeat(16_000)}`,
		read: async reader => readRequest(reader, limits),
	},
	{
		name: 'a body in chunks of a few bytes that drips in',
		text: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'4\r\nabcd\r\n'.repeat(1800)}0\r\n\r\n`,
		read: async reader => readResponse(reader, {...limits, method: 'GET'}),
	},
	{
		name: 'a trailer that drips in',
		text: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ${'b'.repeat(16_000)}\r\n\r\n`,
		read: async reader => readResponse(reader, {...limits, method: 'GET'}),
	},
];

for (const {name, text, read} of slowMessages) {
	test(`${name} is copied again and again`, async t => {
		const socket = silentSocket();
		const reading = read(ByteReader.over(socket));
		const copiedBytes = countCopiedBytes(t);
		await deliver(socket, text, 1);
		assert.ok(await reading);
		assert.ok(copiedBytes() <= maxCopies * text.length, `${copiedBytes()} bytes copied`);
	});
}

test('a body in many tiny chunks holds the process until all of them are read', async () => {
	const socket = silentSocket();
	const reading = readResponse(ByteReader.over(socket), {...limits, method: 'GET'});
	const chunks = '4\r\nabcd\r\n'.repeat(60_000);
	const text = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
	socket.emit('data', Buffer.from(text, 'latin1'));
	let turns = 0;
	const abort = new AbortController();
	const counting = (async () => {
		while (!abort.signal.aborted) {
			await setImmediate();
			turns++;
		}
	})();
	const {response} = await reading;
	abort.abort();
	await counting;
	assert.equal(response.body.length, 240_000);
	assert.ok(turns >= 60_000 / maxChunksPerTurn, `read in ${turns} turns`);
});

const chunkedHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const endlessMessages: ReadonlyArray<{
	readonly name: string;
	readonly first: string;
	/** Comes again and again. */
	readonly unit: string;
	readonly read: (reader: ByteReader) => Promise<unknown>;
}> = [
	{
		name: 'an answer in chunks with extensions',
		first: chunkedHead,
		unit: `1;${'x'.repeat(190)}\r\na\r\n`,
		read: async reader => readResponse(reader, {...limits, method: 'GET'}),
	},
	{
		name: 'an answer in chunks whose lengths begin with zeros',
		first: chunkedHead,
		unit: `${'0'.repeat(190)}1\r\na\r\n`,
		read: async reader => readResponse(reader, {...limits, method: 'GET'}),
	},
	{
		name: 'a request in chunks with extensions',
		first: 'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
		unit: '1;a=b;c=d\r\na\r\n',
		read: async reader => readRequest(reader, limits),
	},
	{
		name: 'empty lines in place of a request',
		first: '',
		unit: '\r\n',
		read: async reader => reader.skipEmptyLines(),
	},
];

// Each stays within the limit of a body, and takes the time of the process until its sender ends it.
for (const {name, first, unit, read} of endlessMessages) {
	test(`${name} is read without end`, async () => {
		const socket = silentSocket();
		let failure: unknown;
		void read(ByteReader.over(socket)).catch((error: unknown) => {
			failure = error;
		});
		await deliver(socket, first, 1024);
		await deliver(socket, unit.repeat(Math.ceil((128 * 1024) / unit.length)), 1024);
		assert.ok(failure instanceof MessageError, 'nothing is wrong yet');
		assert.equal(failure.kind, messageFaults.malformed);
	});
}

test('chunks with extensions in proportion to the body are refused', async () => {
	const socket = silentSocket();
	const reading = readResponse(ByteReader.over(socket), {...limits, method: 'GET'});
	const chunk = `1000;signature=${'f'.repeat(64)}\r\n${'b'.repeat(0x10_00)}\r\n`;
	await deliver(socket, `${chunkedHead}${chunk.repeat(200)}0\r\n\r\n`, 16 * 1024);
	const {response} = await reading;
	assert.equal(response.body.length, 200 * 0x10_00);
});

const partBytes = 64 * 1024;
const connectionCount = 16;
const partsPerConnection = 4;

/** Bytes of all connections that may be decoded before others get their turn. */
const maxBytesPerTurn = 512 * 1024;

// A socket is read several times in a turn, so that a few endless peers fill it, however soon each is
// left for the next.
test('bytes of many connections are decoded in one turn', async () => {
	const connections = Array.from({length: connectionCount}, () => {
		const socket = silentSocket();
		const reader = ByteReader.over(socket);
		return {socket, reader, reading: readResponse(reader, {...limits, method: 'GET'})};
	});
	for (const {socket} of connections) {
		socket.emit('data', Buffer.from('HTTP/1.1 200 OK\r\n\r\n'));
	}

	await setImmediate();
	for (const {socket} of connections) {
		for (let part = 0; part < partsPerConnection; part++) {
			socket.emit('data', Buffer.alloc(partBytes));
			// Promise reactions run between two reads of a turn.
			await Promise.resolve();
			await Promise.resolve();
			await Promise.resolve();
		}
	}

	const unread = connections.reduce((sum, {reader}) => sum + reader.bufferedBytes, 0);
	const sent = connectionCount * partsPerConnection * partBytes;
	assert.ok(sent - unread <= maxBytesPerTurn, `${sent - unread} bytes in one turn`);
	for (const {socket} of connections) {
		socket.emit('end');
	}

	// An end must not overtake bytes that wait for their turn.
	for (const {reading} of connections) {
		const {response} = await reading;
		assert.equal(response.body.length, partsPerConnection * partBytes);
	}
});
