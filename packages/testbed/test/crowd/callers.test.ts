import assert from 'node:assert/strict';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import {CrowdBed} from '../../src/crowd/crowd-bed.js';
import {CrowdClient} from '../../src/crowd/crowd-client.js';

const mib = 1024 * 1024;
const maxBodyBytes = 16 * mib;
const limits = {memoryMb: 200, maxFds: 800};

const head = (lines: string, target = '/permits/crowd') =>
	Buffer.from(
		`POST ${target} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: crowd\r\n${lines}\r\n\r\n`,
	);

const ofLength = (bytes: number) => head(`content-length: ${bytes}`);
const chunked = head('transfer-encoding: chunked');

const filled = (bytes: number) => Buffer.alloc(bytes, 'x');

const inPieces = (bytes: Buffer, size: number) =>
	Array.from({length: Math.ceil(bytes.length / size)}, (_, index) =>
		bytes.subarray(index * size, (index + 1) * size),
	);

const chunkOf = (bytes: number) =>
	Buffer.concat([Buffer.from(`${bytes.toString(16)}\r\n`), filled(bytes), Buffer.from('\r\n')]);

const repeated = <Value>(count: number, value: Value): Value[] =>
	Array.from<Value>({length: count}).fill(value);

const largeBody = filled(maxBodyBytes - 1);
const mediumBody = filled(2 * mib - 1);
const smallChunks = Buffer.concat(repeated(20_000, chunkOf(1)));

type Crowd = {
	readonly clients: number;
	/** What each client sends, after which it keeps its connection open. */
	readonly pieces: readonly Uint8Array[];
};

const crowds: Readonly<Record<string, Crowd>> = {
	'large bodies that stop just short of their end': {
		clients: 20,
		pieces: [ofLength(maxBodyBytes), largeBody],
	},
	'many bodies that stop just short of their end': {
		clients: 150,
		pieces: [ofLength(2 * mib), mediumBody],
	},
	'many bodies in small pieces that stop just short of their end': {
		clients: 150,
		pieces: [ofLength(2 * mib), ...inPieces(mediumBody, 1024)],
	},
	'bodies that are announced far over the limit, and sent': {
		clients: 60,
		pieces: [ofLength(4096 * mib), ...repeated(20, filled(mib))],
	},
	'bodies in large chunks without an end': {
		clients: 20,
		pieces: [chunked, ...repeated(15, chunkOf(mib))],
	},
	'bodies in chunks past the limit': {
		clients: 20,
		pieces: [chunked, ...repeated(24, chunkOf(mib))],
	},
	'bodies in very small chunks without an end': {
		clients: 40,
		pieces: [chunked, ...repeated(10, smallChunks)],
	},
	'heads without an end': {
		clients: 500,
		pieces: [Buffer.concat([head('x-filler: 1').subarray(0, -4), filled(60_000)])],
	},
	'many bodies on each connection': {
		clients: 6,
		pieces: repeated(100, Buffer.concat([ofLength(mib), filled(mib)])),
	},
	'connections beyond the descriptors of the machine': {
		clients: 1200,
		pieces: [head('x-filler: 1').subarray(0, 40)],
	},
};

/** Sends a request without reading its answer. */
const get = (target: string) =>
	Buffer.from(`GET ${target} HTTP/1.1\r\nhost: shop.example\r\nattempt-id: slow\r\n\r\n`);

const checkLimits = (bed: CrowdBed) => {
	bed.countDescriptors();
	assert.ok(bed.isRunning, 'a process has ended');
	assert.ok(bed.peakMb <= limits.memoryMb, `${Math.round(bed.peakMb)} MB of ${limits.memoryMb}`);
	assert.ok(
		bed.mostDescriptors <= limits.maxFds,
		`${bed.mostDescriptors} descriptors of ${limits.maxFds}`,
	);
};

for (const [what, {clients, pieces}] of Object.entries(crowds)) {
	test(`a crowd of callers takes a process over its limits: ${what}`, async () => {
		const bed = await CrowdBed.start({maxBodyBytes, limits});
		const crowd = await Promise.all(
			repeated(clients, bed.near.callerPort).map(async port => CrowdClient.open(port)),
		);
		try {
			await Promise.all(crowd.map(async client => client.send(...pieces)));
			await bed.untilSteady();
			checkLimits(bed);
			// Connections are accepted in order, so that by its answer all of the crowd have been.
			assert.ok(await bed.isServed('/permits/beside'), 'beside the crowd');
			checkLimits(bed);
			for (const client of crowd) {
				client.close();
			}

			assert.ok(await bed.isServed('/permits/after'), 'after the crowd');
			checkLimits(bed);
		} finally {
			for (const client of crowd) {
				client.close();
			}

			await bed.stop();
		}
	});
}

test('callers that do not read large answers take a process over its limits', async () => {
	const bed = await CrowdBed.start({maxBodyBytes, limits});
	const answer = filled(mib);
	const ordinary = bed.far.upstream.answer;
	// Answers of the largest size that a node passes on.
	bed.far.upstream.handler = (req, res) => {
		if (req.url === '/permits/large') {
			res.writeHead(200, {'attempt-id': String(req.headers['attempt-id'])}).end(answer);
		} else {
			ordinary(req, res);
		}
	};

	const crowd = await Promise.all(
		repeated(300, bed.near.callerPort).map(async port =>
			CrowdClient.open(port, {isReading: false}),
		),
	);
	try {
		await Promise.all(crowd.map(async client => client.send(get('/permits/large'))));
		await bed.untilSteady();
		assert.ok(await bed.isServed('/rounds/beside'), 'beside the crowd');
		for (const client of crowd) {
			client.close();
		}

		await bed.near.until(async () => bed.isServed('/permits/after'));
		checkLimits(bed);
	} finally {
		for (const client of crowd) {
			client.close();
		}

		await bed.stop();
	}
});

/** Requests inside the limits, each alone on calm hosts of 250 MB. */
const largest = 64 * mib;
const legal: Readonly<Record<string, (bed: CrowdBed) => Promise<{status: number}>>> = {
	'a body of the largest size': async bed => bed.near.put('/permits/whole', filled(largest)),
	'a chunked body of the largest size': async bed =>
		bed.near.put('/permits/chunked', Readable.from(repeated(64, filled(mib)))),
};

for (const [what, send] of Object.entries(legal)) {
	test(`one request inside the limits takes a process over its limits: ${what}`, async () => {
		const memoryMb = 250;
		const bed = await CrowdBed.start({maxBodyBytes: largest, limits: {...limits, memoryMb}});
		const {answer} = bed.far.upstream;
		bed.far.upstream.handler = async (req, res) => {
			await req.resume().toArray();
			answer(req, res);
		};

		try {
			const {status} = await send(bed);
			assert.equal(status, 200);
			assert.ok(bed.peakMb <= memoryMb, `${Math.round(bed.peakMb)} MB of ${memoryMb}`);
		} finally {
			await bed.stop();
		}
	});
}
