import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import {test} from 'node:test';
import {ByteBudget} from '@medlarsaddle/control';
import {ManualClock} from '@medlarsaddle/core';
import {type HttpResponse, messageFaults, serveRequests} from '../src/index.js';
import {socketPair} from './socket-pair.js';

type Running = {
	readonly target: string;
	readonly signal: AbortSignal;
	readonly respond: () => void;
};

const limits = {
	maxHeadBytes: 500,
	maxBodyBytes: 100_000,
	headMs: 300,
	bodyMs: 1000,
	idleMs: 5000,
};

const statusOf = new Map<string, number>([
	[messageFaults.tooSlow, 408],
	[messageFaults.headTooLarge, 431],
	[messageFaults.tooLarge, 413],
]);

/** Serves one connection; the test answers each request through `running`. */
const serve = async (capacityBytes = Number.POSITIVE_INFINITY) => {
	const {near, far} = await socketPair();
	const clock = ManualClock.at(0);
	const budget = ByteBudget.create({clock, capacityBytes});
	const running: Running[] = [];
	const state = {isClosing: false, received: ''};
	const stop = new AbortController();
	const requests = new EventEmitter();
	const served = serveRequests(
		{
			clock,
			budget,
			limits: () => limits,
			handle: async ({req, signal}) =>
				new Promise<HttpResponse>(resolve => {
					const respond = () => {
						resolve({status: 200, headers: ['x-target', req.target], body: Buffer.from('ok')});
					};

					running.push({target: req.target, signal, respond});
					requests.emit('request');
				}),
			refuse: () => ({status: 503, headers: [], body: new Uint8Array()}),
			reject: error => ({
				status: statusOf.get(error.kind) ?? 400,
				headers: [],
				body: new Uint8Array(),
			}),
			isClosing: () => state.isClosing,
		},
		near,
	)(stop.signal, () => {});
	far.on('data', (bytes: Buffer) => {
		state.received += bytes.toString();
	});
	const ended = new Promise<void>(resolve => {
		far.once('end', resolve);
	});
	const untilRunning = async (count: number) => {
		while (running.length < count) {
			await once(requests, 'request');
		}
	};

	const untilReceived = async (text: string) => {
		while (!state.received.includes(text)) {
			await once(far, 'data');
		}
	};

	return {
		budget,
		clock,
		ended,
		far,
		near,
		running,
		served,
		state,
		stop,
		untilReceived,
		untilRunning,
	};
};

const get = (target: string) => `GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`;
const targets = (text: string) =>
	[...text.matchAll(/x-target: (\S+)/gv)].map(([_all, target]) => target);

test('answers go out in the order of the requests, whatever order they end in', async () => {
	const {far, running, untilReceived, untilRunning} = await serve();
	far.write(get('/1') + get('/2') + get('/3'));
	await untilRunning(3);
	for (const {respond} of running.toReversed()) {
		respond();
	}

	await untilReceived('/3');
	far.destroy();
});

// With the closing header on the answer to the first request, the second would have been passed on
// and left without its answer.
test('a stopping node closes a connection behind the last request that it has read', async () => {
	const {ended, far, running, served, state, untilRunning} = await serve();
	far.write(get('/1') + get('/2'));
	await untilRunning(2);
	state.isClosing = true;
	for (const {respond} of running) {
		respond();
	}

	await served;
	await ended;
	assert.deepEqual(targets(state.received), ['/1', '/2']);
	assert.equal(state.received.match(/connection: close/gv)?.length, 1);
	assert.ok(state.received.indexOf('connection: close') > state.received.indexOf('/2'));
	far.destroy();
});

// Its answer could go out only after the one before it, for which the process may not have the time.
test('a stopping node passes on a request whose answer has to wait for an earlier one', async () => {
	const {ended, far, near, running, served, state, untilRunning} = await serve();
	far.write(get('/1') + get('/2'));
	await untilRunning(2);
	state.isClosing = true;
	running[1]!.respond();
	far.write(get('/3'));
	while (near.bytesRead < 3 * get('/3').length) {
		await new Promise(setImmediate);
	}

	await new Promise(setImmediate);
	const passedOn = running.map(({target}) => target);
	for (const {respond} of running) {
		respond();
	}

	await served;
	await ended;
	assert.deepEqual(passedOn, ['/1', '/2']);
	assert.deepEqual(targets(state.received), ['/1', '/2']);
	far.destroy();
});

test('a request behind an answer that closes the connection is not passed on', async () => {
	const {far, running, served, untilRunning} = await serve();
	far.write(`GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n${get('/2')}`);
	await untilRunning(1);
	running[0]!.respond();
	await served;
	assert.deepEqual(
		running.map(({target}) => target),
		['/1'],
	);
	far.destroy();
});

test('a task that is stopped answers what it has read, then ends', async () => {
	const {ended, far, running, served, state, stop, untilRunning} = await serve();
	far.write(get('/1'));
	await untilRunning(1);
	stop.abort();
	running[0]!.respond();
	await served;
	await ended;
	assert.deepEqual(targets(state.received), ['/1']);
	far.destroy();
});

test('an idle connection closes when its task is stopped', async () => {
	const {far, served, stop} = await serve();
	stop.abort();
	await served;
	far.destroy();
});

test('a caller that ends its connection cancels all its requests', async () => {
	const {far, running, served, untilRunning} = await serve();
	far.write(get('/1') + get('/2'));
	await untilRunning(2);
	far.destroy();
	await Promise.all(
		running.map(async ({signal}) => (signal.aborted ? undefined : once(signal, 'abort'))),
	);
	for (const {respond} of running) {
		respond();
	}

	await served;
});

const slow: ReadonlyArray<readonly [name: string, bytes: string, ms: number]> = [
	['a head', 'GET /1 HTTP/1.1\r\nHo', limits.headMs],
	['a body', 'PUT /1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf', limits.bodyMs],
];

for (const [name, bytes, ms] of slow) {
	test(`a caller that takes too long for ${name} gets 408 and is disconnected`, async () => {
		const {clock, ended, far, near, served, state} = await serve();
		far.write(bytes);
		await once(near, 'data');
		await clock.advance(ms);
		await served;
		await ended;
		assert.match(state.received, /^HTTP\/1\.1 408 .*connection: close/sv);
		far.destroy();
	});
}

test('a connection is idle after an empty line, which is not a request that is late', async () => {
	const {clock, ended, far, near, running, served, state, untilReceived, untilRunning} =
		await serve();
	far.write(get('/1'));
	await untilRunning(1);
	running[0]!.respond();
	await untilReceived('/1');
	far.write('\r\n');
	await once(near, 'data');
	await clock.advance(limits.headMs);
	far.write(get('/2'));
	await Promise.race([untilRunning(2), ended]);
	assert.doesNotMatch(state.received, / 408 /v);
	running[1]!.respond();
	await untilReceived('/2');
	far.write('\r\n');
	await once(near, 'data');
	await clock.advance(limits.idleMs);
	await served;
	far.destroy();
});

test('an idle connection is closed after its time', async () => {
	const {clock, far, served} = await serve();
	await clock.advance(limits.idleMs);
	await served;
	far.destroy();
});

test('a malformed request is answered after those before it, and ends the connection', async () => {
	const {ended, far, running, served, state, untilRunning} = await serve();
	far.write(`${get('/1')}nonsense\r\n\r\n${get('/2')}`);
	await untilRunning(1);
	running[0]!.respond();
	await served;
	await ended;
	assert.deepEqual(
		[...state.received.matchAll(/HTTP\/1\.1 (\d+)/gv)].map(([_all, status]) => status),
		['200', '400'],
	);
	assert.equal(running.length, 1);
	far.destroy();
});

// A caller that does not read would otherwise hold its answers in memory for as long as it likes.
test('a caller that does not read its answers is disconnected, and its requests are cancelled', async () => {
	const {clock, far, near, running, served, untilRunning} = await serve();
	far.pause();
	far.removeAllListeners('data');
	near.write(Buffer.alloc(8 * 1024 * 1024));
	far.write(get('/1') + get('/2'));
	await untilRunning(2);
	running[0]!.respond();
	await new Promise(setImmediate);
	await clock.advance(10_000);
	assert.ok(near.destroyed);
	running[1]!.respond();
	await served;
	assert.ok(running[1]!.signal.aborted);
	far.destroy();
});

test('an idle connection is ended because others hold more than the budget', async () => {
	const {budget, clock, far, running, untilReceived, untilRunning} = await serve(1000);
	const other = budget.open();
	other.add(100_000);
	await clock.advance(2000);
	far.write(get('/1'));
	await untilRunning(1);
	running[0]!.respond();
	await untilReceived('/1');
	other.close();
	far.destroy();
});

test('a connection that was given up in a head leaves shares of the budget open', async () => {
	const {budget, clock, far, near, served} = await serve(1000);
	far.write('GET / HT');
	await once(near, 'data');
	const other = budget.open();
	other.add(100_000);
	await clock.advance(2000);
	await served;
	assert.equal(budget.shareCount, 1);
	far.destroy();
});

test('an answer that waits for an earlier one is given up with its connection', async () => {
	const {budget, clock, far, running, state, untilReceived, untilRunning} = await serve(1000);
	far.write(get('/1') + get('/2'));
	await untilRunning(2);
	running[1]!.respond();
	const other = budget.open();
	other.add(100_000);
	await clock.advance(2000);
	running[0]!.respond();
	await untilReceived('/2');
	assert.deepEqual(targets(state.received), ['/1', '/2']);
	far.destroy();
});
