import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, ManualClock, createRandom, faultKinds} from '@medlarsaddle/core';
import {Policy} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import type {CallSender} from '../src/calls/call-sender.js';
import {Forwarder} from '../src/calls/forwarder.js';
import type {Config} from '../src/config/config.js';
import {LoadTracker} from '../src/upstream/load-tracker.js';

const section = {
	name: 'routes',
	version: 1,
	changeId: 'c',
	author: 'a',
	atMs: 0,
	text: JSON.stringify({
		kind: 'routes',
		routes: [
			{
				name: 'r',
				host: 'shop.example',
				pathPrefix: '/look/',
				targets: [
					{service: 'old', weight: 90},
					{service: 'new', weight: 10},
				],
				rank: 1,
				idempotent: true,
				timeoutMs: 1000,
				goalMs: 1500,
				attempts: 2,
			},
		],
		services: [],
		callerLimits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	}),
};

const answerOutcome: CallOutcome = {
	result: {kind: 'answer', status: 200, headers: [], body: new Uint8Array()},
	cutoffs: [],
	load: 0,
	unspent: 0,
};

const drainingFault = Fault.of(faultKinds.draining, 'leaving', 'another node');

const setUp = ({policy = Policy.empty(), isLeaving = false} = {}) => {
	const clock = ManualClock.at(0);
	const sentRequests: CallRequest[] = [];
	const sender = {
		async send(request: CallRequest) {
			sentRequests.push(request);
			return answerOutcome;
		},
	};
	const loadTracker = LoadTracker.create({clock, hostsByService: () => new Map()});
	const lines: Array<Readonly<Record<string, unknown>> | undefined> = [];
	const forwarder = Forwarder.create({
		clock,
		random: createRandom(1),
		log(_event, fields) {
			lines.push(fields);
		},
		config: {policy} as unknown as Config,
		sender: sender as unknown as CallSender,
		loadTracker,
		drainingFault: () => (isLeaving ? drainingFault : undefined),
		origin: 'map',
		onEnded() {},
	});
	const send = async (target = '/look/1', remainingMs: number | undefined = 5000) =>
		forwarder.forward(
			{
				id: 'a1',
				host: 'Shop.example:80',
				method: 'GET',
				target,
				headers: [],
				body: new Uint8Array(),
				remainingMs,
			},
			new AbortController().signal,
		);
	return {send, sentRequests, loadTracker, clock, lines};
};

const policy = Policy.empty().with(section)._unsafeUnwrap();

test('requests are split between the targets of their route in proportion to their weights', async () => {
	const {send, sentRequests} = setUp({policy});
	for (let turn = 0; turn < 20; turn++) {
		await send();
	}

	assert.equal(sentRequests.filter(({service}) => service === 'new').length, 2);
	const [{remainingMs, goalMs, origin, rank}] = sentRequests as [CallRequest];
	assert.deepEqual(
		{remainingMs, goalMs, origin, rank},
		{
			remainingMs: 1000,
			goalMs: 1000,
			origin: 'map',
			rank: 1,
		},
	);
});

const refused: ReadonlyArray<{
	readonly name: string;
	readonly opts: Parameters<typeof setUp>[0];
	readonly target?: string;
	readonly remainingMs?: number;
	readonly fault: string;
}> = [
	{name: 'before a configuration is loaded', opts: {}, fault: faultKinds.noEndpoint},
	{name: 'with no time left', opts: {policy}, remainingMs: 0, fault: faultKinds.deadlineExceeded},
	{
		name: 'while the node drains',
		opts: {policy, isLeaving: true},
		fault: faultKinds.draining,
	},
];

for (const {name, opts, target, remainingMs, fault} of refused) {
	test(`a request ${name} is refused as not run and not sent`, async () => {
		const {send, sentRequests} = setUp(opts);
		const {result} = (await send(target, remainingMs))._unsafeUnwrap();
		assert.ok(result.kind === 'refusal');
		assert.equal(result.fault, fault);
		assert.equal(result.run, runStates.notRun);
		assert.equal(sentRequests.length, 0);
	});
}

test('a request without a route is a fault of the request and not sent', async () => {
	const {send, sentRequests} = setUp({policy});
	assert.equal((await send('/pay/1'))._unsafeUnwrapErr().kind, faultKinds.notFound);
	assert.equal(sentRequests.length, 0);
});

test('the log tells what no route took, by which configuration, and no more than a line of it', async () => {
	const {send, lines} = setUp({policy});
	const target = `/pay/${'1'.repeat(5000)}`;
	await send(target);
	const {request, config, fault, host, path} = lines[0]!;
	assert.deepEqual(
		{request, config, fault, host, path},
		{
			request: 'a1',
			config: 1,
			fault: faultKinds.notFound,
			host: 'Shop.example:80',
			path: target.slice(0, 128),
		},
	);
});

test('a call that belongs to a request in flight is forwarded while the node drains', async () => {
	const {send, sentRequests, loadTracker} = setUp({policy, isLeaving: true});
	loadTracker.learn('shop.example/look/', {...answerOutcome, isCall: true});
	assert.equal((await send())._unsafeUnwrap().result.kind, 'answer');
	assert.equal(sentRequests[0]?.depth, 1);
});

test('requests are refused at the entry when a downstream service can serve only a share of them', async () => {
	const {send, sentRequests, loadTracker} = setUp({policy});
	loadTracker.learn('shop.example/look/', {
		...answerOutcome,
		footprint: [['rules', 160]],
		shares: [['rules', 0.25, 0]],
	});
	let retryAfterMs = 0;
	for (let request = 0; request < 40; request++) {
		const {result} = (await send())._unsafeUnwrap();
		if (result.kind === 'refusal') {
			assert.equal(result.run, runStates.notRun);
			assert.equal(result.by, 'rules');
			retryAfterMs = result.retryAfterMs ?? 0;
		}
	}

	assert.ok(Math.abs(sentRequests.length - 10) <= 2, String(sentRequests.length));
	// At most a third of the caller's time, and early enough for an answer within the goal.
	assert.ok(retryAfterMs > 500 && retryAfterMs < Math.min(5000 / 3, 1500), String(retryAfterMs));
});
