import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {Admission, Quarantine} from '@medlarsaddle/control';
import {ManualClock, faultKinds} from '@medlarsaddle/core';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import {announcement} from '../src/upstream/announcement.js';
import {InFlightCalls} from '../src/upstream/in-flight-calls.js';
import {LoadTracker} from '../src/upstream/load-tracker.js';
import {UpstreamProxy} from '../src/upstream/upstream-proxy.js';

// A call waits for a connection after it was admitted. What allowed it may have ended by then.

const action: CallRequest = {
	service: 'pay',
	job: 'pay',
	method: 'POST',
	path: '/action',
	headers: [],
	body: new Uint8Array(),
	rootId: 'r',
	rank: 0,
	cohort: 0,
	remainingMs: 5000,
	allowance: 0,
	depth: 0,
	idempotent: false,
};

const silentCount = 8;
const runsNever = new AbortController().signal;

/** A proxy whose upstream has fallen silent on all connections, while new ones work. */
const setUp = async () => {
	const clock = ManualClock.at(0);
	const received: string[] = [];
	const openSockets = new Set<net.Socket>();
	const silent = new Set<net.Socket>();
	let held: Array<() => void> | undefined = [];
	const server = net.createServer(socket => {
		openSockets.add(socket);
		socket.on('error', () => {});
		socket.on('data', bytes => {
			if (silent.has(socket)) {
				return;
			}

			const answer = () => {
				socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
			};

			received.push(bytes.toString());
			if (held) {
				held.push(answer);
			} else {
				answer();
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	const upstream = UpstreamProxy.create({
		clock,
		log() {},
		host: '127.0.0.1',
		node: 'a',
		maxBodyBytes: 1000,
		inFlight: InFlightCalls.create(clock, 'p'),
		protocol: {
			headersFor: ({request}) => ['left', String(request.remainingMs)],
			read: answer => ({kind: 'answer', answer}),
		},
		quarantine: Quarantine.create({clock}),
		createAdmission: ({slots, connections}) =>
			Admission.create({
				clock,
				floors: [],
				slotsHint: slots,
				maxLimit: connections,
				isEnabled: false,
			}),
		loadTracker: LoadTracker.create({clock, hostsByService: () => new Map()}),
		onOfferChanged() {},
		onSuspects() {},
	});
	const announce = (draining: boolean) => {
		upstream.announce(announcement.parse({service: 'pay', port, slots: 50, draining}));
	};

	const run = async (request: CallRequest) => upstream.run(request, runsNever);
	announce(false);
	const first = Array.from({length: silentCount}, async () => run(action));
	while (held.length < silentCount) {
		await setImmediate();
	}

	for (const answer of held) {
		answer();
	}

	held = undefined;
	await Promise.all(first);
	for (const socket of openSockets) {
		silent.add(socket);
	}

	received.length = 0;
	await clock.advance(2000);

	/** Lets time pass in steps until the call has ended, or all of it has passed. */
	const endOf = async (outcome: Promise<CallOutcome>, withinMs: number) => {
		const state: {ended?: CallOutcome} = {};
		void outcome.then(ended => {
			state.ended = ended;
		});
		for (let passedMs = 0; passedMs < withinMs && !state.ended; passedMs += 10) {
			await clock.advance(10);
			// The stand-in answers over a real socket.
			for (let turn = 0; turn < 20 && !state.ended; turn++) {
				await setImmediate();
			}
		}

		return state.ended;
	};

	const actions = () => received.filter(text => text.startsWith('POST'));
	const stop = () => {
		for (const socket of openSockets) {
			socket.destroy();
		}

		server.close();
	};

	return {actions, announce, clock, endOf, run, stop, upstream};
};

test('an action waits for one silent connection after the other', async t => {
	const {actions, endOf, run, stop} = await setUp();
	t.after(stop);
	const outcome = await endOf(run(action), 300);
	assert.equal(outcome?.result.kind, 'answer');
	assert.equal(actions().length, 1);
});

test('an action reaches an upstream that drained while the action waited for a connection', async t => {
	const {actions, announce, endOf, run, stop} = await setUp();
	t.after(stop);
	const running = run(action);
	announce(true);
	const outcome = await endOf(running, 5000);
	assert.deepEqual(actions(), []);
	assert.ok(outcome?.result.kind === 'refusal');
	assert.equal(outcome.result.fault, faultKinds.draining);
	assert.equal(outcome.result.run, runStates.notRun);
});

test('an action reaches an upstream that was withdrawn while the action waited for a connection', async t => {
	const {actions, endOf, run, stop, upstream} = await setUp();
	t.after(stop);
	const running = run(action);
	upstream.withdraw();
	const outcome = await endOf(running, 5000);
	assert.deepEqual(actions(), []);
	assert.ok(outcome?.result.kind === 'refusal' && outcome.result.run === runStates.notRun);
});

test('an action is sent after its deadline, which passed while it waited for a connection', async t => {
	const {actions, endOf, run, stop} = await setUp();
	t.after(stop);
	const outcome = await endOf(run({...action, remainingMs: 120}), 5000);
	assert.deepEqual(actions(), []);
	assert.ok(outcome?.result.kind === 'refusal' && outcome.result.run === runStates.notRun);
});

test('an upstream is told more time than is left after the wait for a connection', async t => {
	const {actions, endOf, run, stop} = await setUp();
	t.after(stop);
	await endOf(run(action), 5000);
	const [sent] = actions();
	const leftMs = Number(/left: (\S+)/v.exec(sent!)![1]);
	assert.ok(leftMs <= action.remainingMs - 150, String(leftMs));
});
