import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {RetryAllowance, RetryBudget, type StopWindow} from '@medlarsaddle/control';
import {ManualClock, createRandom, faultKinds} from '@medlarsaddle/core';
import type {Member} from '@medlarsaddle/members';
import {
	CallEnded,
	type CallOutcome,
	type CallRequest,
	endReasons,
	runStates,
} from '@medlarsaddle/wire';
import {CallSender} from '../src/calls/call-sender.js';
import type {EndpointDirectory} from '../src/calls/endpoint-directory.js';
import type {EndpointSelector} from '../src/calls/endpoint-selector.js';
import {createTwoChoiceSelector} from '../src/calls/two-choice-selector.js';
import {peerFaults} from '../src/peers/peer-faults.js';
import type {Peers} from '../src/peers/peers.js';
import {refusalOf} from '../src/peers/refusal-of.js';
import {jobStrategy} from '../src/root/job-strategy.js';
import {routeStrategy} from '../src/root/route-strategy.js';
import {proxyFaults} from '../src/upstream/proxy-faults.js';
import type {UpstreamProxy} from '../src/upstream/upstream-proxy.js';

const answered: CallOutcome = {
	result: {kind: 'answer', status: 200, headers: [], body: new Uint8Array()},
	cutoffs: [],
	load: 0,
	unspent: 0,
};

const unreachable: CallOutcome = {
	result: {
		kind: 'refusal',
		fault: faultKinds.unreachable,
		what: '',
		remedy: '',
		run: runStates.notRun,
	},
	cutoffs: [],
	load: 0,
	unspent: 0,
};

const request: CallRequest = {
	service: 'map',
	job: 'look up',
	method: 'GET',
	path: '/',
	headers: [],
	body: new Uint8Array(),
	rootId: 'r',
	rank: 0,
	cohort: 0,
	remainingMs: 1000,
	allowance: 1,
	depth: 0,
	idempotent: true,
};

const clock = ManualClock.at(0);
const endpointOf = (node: string) => ({node, service: 'map', dataCentre: 'dc1', weight: 60});

type SenderOpts = {
	readonly freeRetryFaults: ReadonlySet<string>;
	readonly run?: UpstreamProxy['run'];
	readonly call?: Peers['call'];
	readonly selector?: EndpointSelector;
	readonly stopWindow?: StopWindow;
};

/** A sender beside a live upstream; the host of the other endpoint has just been killed. */
const createSender = ({
	freeRetryFaults,
	run = async () => answered,
	call = async () => unreachable,
	selector,
	stopWindow,
}: SenderOpts): CallSender => {
	const endpoints = ['live', 'killed'].map(node => endpointOf(node));
	const directory = {
		endpointsOf: () => endpoints,
		memberOf: (id: string) => ({id}) as unknown as Member,
	} as unknown as EndpointDirectory;
	return CallSender.create({
		clock,
		log() {},
		directory,
		peers: {call} as unknown as Peers,
		upstream: {run} as unknown as UpstreamProxy,
		selfId: 'live',
		selector: selector ?? createTwoChoiceSelector({clock, random: createRandom(1), directory}),
		createRetryBudget: () => RetryBudget.create({ratio: 0, maxTokens: () => 1}),
		freeRetryFaults,
		sharesRetries: true,
		stopWindow: () => stopWindow,
		hasRetryBudget: true,
	});
};

const strategies = [
	['by job', jobStrategy],
	['by route', routeStrategy],
] as const;

for (const [description, {freeRetryFaults}] of strategies) {
	test(`with calls ${description}, those that never left for a killed host go to another endpoint without spending the retry budget`, async () => {
		const sender = createSender({freeRetryFaults});
		const {signal} = new AbortController();
		const outcomes = await Promise.all(
			Array.from({length: 20}, async () => sender.send(request, RetryAllowance.of(1), signal)),
		);
		assert.ok(sender.retries > 1);
		assert.deepEqual(
			outcomes.map(({result}) => result.kind),
			outcomes.map(() => 'answer'),
		);
	});
}

const {freeRetryFaults} = routeStrategy;

/** Chooses the local endpoint first, then the other one. */
const selector: EndpointSelector = {
	choose: (_request, tried) =>
		['live', 'other'].filter(node => !tried.has(node)).map(endpointOf)[0],
	noteSent() {},
	noteEnded() {},
	isEjected: () => false,
	retainOnly() {},
};

/** The local upstream, which makes no progress until it is told to answer or its signal aborts. */
const createStallingUpstream = () => {
	const lost: CallOutcome = refusalOf(peerFaults.connectionLost, runStates.unknown, 0);
	let answer = () => {};
	const signals: AbortSignal[] = [];
	const run: UpstreamProxy['run'] = async ({allowance}, signal, onStalled) => {
		signals.push(signal);
		onStalled?.(allowance);
		return new Promise(resolve => {
			answer = () => {
				resolve(answered);
			};

			signal.addEventListener('abort', () => {
				resolve(lost);
			});
		});
	};

	return {
		run,
		signals,
		answer() {
			answer();
		},
	};
};

/** Sends a call to the local upstream first. */
const sendToStalling = async (sender: CallSender): Promise<CallOutcome> =>
	sender.send(request, RetryAllowance.of(1), new AbortController().signal);

test('a call whose endpoint stalls waits for that endpoint until its time is up', async () => {
	const {run, signals} = createStallingUpstream();
	const sender = createSender({freeRetryFaults, selector, run, call: async () => answered});
	const {result} = await sendToStalling(sender);
	assert.equal(result.kind, 'answer');
	assert.equal(CallEnded.reasonOf(signals[0]!), endReasons.superseded);
});

test('a stalled attempt is ended before another one has answered', async () => {
	const {run, signals, answer} = createStallingUpstream();
	const refused = refusalOf(proxyFaults.quarantined, runStates.notRun, 0);
	const called: string[] = [];
	const sender = createSender({
		freeRetryFaults,
		selector,
		run,
		async call({id}) {
			called.push(id);
			return refused;
		},
	});
	const outcome = sendToStalling(sender);
	await setImmediate();
	assert.deepEqual(called, ['other']);
	assert.equal(signals[0]!.aborted, false);
	answer();
	assert.equal((await outcome).result.kind, 'answer');
});

test('stalled calls are repeated beyond the retry budget', async () => {
	const {run, signals} = createStallingUpstream();
	const called: string[] = [];
	const sender = createSender({
		freeRetryFaults,
		selector,
		run,
		async call({id}) {
			called.push(id);
			return answered;
		},
	});
	const {signal} = new AbortController();
	for (let count = 0; count < 20; count++) {
		void sender.send(request, RetryAllowance.of(1), signal);
		await setImmediate();
	}

	// The budget has one token, and gains none.
	assert.equal(signals.length, 20);
	assert.equal(sender.retries, 1);
	assert.equal(signals.filter(({aborted}) => aborted).length, 1);
});

test('an action is repeated because its endpoint makes no progress', async () => {
	const {run, signals} = createStallingUpstream();
	const taken: boolean[] = [];
	const sender = createSender({
		freeRetryFaults,
		selector,
		run: async (sent, signal) => run(sent, signal),
		async call(_member, {onStalled}) {
			taken.push(onStalled !== undefined);
			return answered;
		},
	});
	const {signal} = new AbortController();
	for (let count = 0; count < 20; count++) {
		void sender.send({...request, idempotent: false}, RetryAllowance.of(1), signal);
		await setImmediate();
	}

	assert.equal(sender.retries, 0);
	assert.equal(signals.length, 20);
	assert.deepEqual(taken, []);
});

const action = {...request, idempotent: false, goalMs: 300};
const lookUp = {...request, goalMs: 300};

const stops: ReadonlyArray<{
	readonly what: string;
	readonly sent: CallRequest;
	readonly stopWindow: StopWindow;
	/** Time that the endpoint is given; undefined when the call must not be sent. */
	readonly expectedMs: number | undefined;
}> = [
	{
		what: 'an action that outlasts the process',
		sent: action,
		stopWindow: {untilEndMs: 900, isNoticeOver: true},
		expectedMs: undefined,
	},
	{
		what: 'an action that outlasts a process with a long stop',
		sent: {...action, remainingMs: 30_000},
		stopWindow: {untilEndMs: 29_000, isNoticeOver: true},
		expectedMs: undefined,
	},
	{
		what: 'an action with more time than the process before callers could notice the stop',
		sent: action,
		stopWindow: {untilEndMs: 900, isNoticeOver: false},
		expectedMs: 900,
	},
	{
		what: 'an action that ends before the process',
		sent: action,
		stopWindow: {untilEndMs: 1000, isNoticeOver: true},
		expectedMs: 1000,
	},
	{
		what: 'a look-up with more time than the process',
		sent: lookUp,
		stopWindow: {untilEndMs: 400, isNoticeOver: true},
		expectedMs: 400,
	},
	{
		what: 'a look-up whose answer is not expected before the process ends',
		sent: lookUp,
		stopWindow: {untilEndMs: 300, isNoticeOver: true},
		expectedMs: undefined,
	},
	{
		what: 'a look-up after the time at which the process may end',
		sent: {...lookUp, goalMs: 0},
		stopWindow: {untilEndMs: -1, isNoticeOver: true},
		expectedMs: undefined,
	},
];

// It runs, and its connection ends with the process without an answer.
for (const {what, sent, stopWindow, expectedMs} of stops) {
	test(`a stopping node sends ${what} as if it went on`, async () => {
		const given: number[] = [];
		const sender = createSender({
			freeRetryFaults,
			selector,
			stopWindow,
			async run({remainingMs}) {
				given.push(remainingMs);
				return answered;
			},
		});
		const {signal} = new AbortController();
		const {result} = await sender.send(sent, RetryAllowance.of(1), signal);
		assert.deepEqual(given, expectedMs === undefined ? [] : [expectedMs]);
		if (result.kind === 'refusal') {
			assert.equal(result.fault, faultKinds.draining);
			assert.equal(result.run, runStates.notRun);
			assert.equal(result.retryAfterMs, 200);
		} else {
			assert.notEqual(expectedMs, undefined);
		}
	});
}

// The first attempt was let through while the process had time for it.
test('a stopping node tries a refused action again for longer than it lives', async () => {
	const stopWindow = {untilEndMs: 2000, isNoticeOver: true};
	const called: string[] = [];
	const sender = createSender({
		freeRetryFaults,
		selector,
		stopWindow,
		async run() {
			stopWindow.untilEndMs = 900;
			return refusalOf(proxyFaults.draining, runStates.notRun, 0);
		},
		async call({id}) {
			called.push(id);
			return answered;
		},
	});
	const {signal} = new AbortController();
	const {result} = await sender.send(action, RetryAllowance.of(1), signal);
	assert.deepEqual(called, []);
	assert.ok(result.kind === 'refusal' && result.run === runStates.notRun);
});
