import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Fault, ManualClock, createRandom, faultKinds} from '@medlarsaddle/core';
import {Policy} from '@medlarsaddle/policy';
import {type CallOutcome, type CallRequest, runStates} from '@medlarsaddle/wire';
import type {Carrier} from '../src/calls/carrier.js';
import {Forwarder} from '../src/calls/forwarder.js';
import type {Config} from '../src/config/config.js';
import {Pressure} from '../src/upstream/pressure.js';

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

const answered: CallOutcome = {
	result: {kind: 'answer', status: 200, headers: [], body: new Uint8Array()},
	cutoffs: [],
	load: 0,
	unspent: 0,
};

const leaving = Fault.of(faultKinds.draining, 'leaving', 'another node');

const start = ({policy = Policy.empty(), isLeaving = false} = {}) => {
	const clock = ManualClock.at(0);
	const carried: CallRequest[] = [];
	const carrier = {
		async carry(request: CallRequest) {
			carried.push(request);
			return answered;
		},
	};
	const pressure = Pressure.create({clock, hosts: () => new Map()});
	const forwarder = Forwarder.create({
		clock,
		random: createRandom(1),
		log() {},
		config: {policy} as unknown as Config,
		carrier: carrier as unknown as Carrier,
		pressure,
		closedBy: () => (isLeaving ? leaving : undefined),
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
	return {send, carried, pressure, clock};
};

const policy = Policy.empty().with(section)._unsafeUnwrap();

test('a request goes to the targets of its route in the proportion of their weights', async () => {
	const {send, carried} = start({policy});
	for (let turn = 0; turn < 20; turn++) {
		await send();
	}

	assert.equal(carried.filter(({service}) => service === 'new').length, 2);
	const [{remainingMs, goalMs, origin, rank}] = carried as [CallRequest];
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
	readonly opts: Parameters<typeof start>[0];
	readonly target?: string;
	readonly remainingMs?: number;
	readonly fault: string;
}> = [
	{name: 'before there is a configuration', opts: {}, fault: faultKinds.noEndpoint},
	{name: 'without a route', opts: {policy}, target: '/pay/1', fault: faultKinds.notFound},
	{name: 'with no time left', opts: {policy}, remainingMs: 0, fault: faultKinds.deadlineExceeded},
	{
		name: 'at the end of a planned stop',
		opts: {policy, isLeaving: true},
		fault: faultKinds.draining,
	},
];

for (const {name, opts, target, remainingMs, fault} of refused) {
	test(`a request ${name} is refused as not run and goes nowhere`, async () => {
		const {send, carried} = start(opts);
		const {result} = await send(target, remainingMs);
		assert.ok(result.kind === 'refusal');
		assert.equal(result.fault, fault);
		assert.equal(result.run, runStates.notRun);
		assert.equal(carried.length, 0);
	});
}

test('a call of a request in flight passes while the node stops', async () => {
	const {send, carried, pressure} = start({policy, isLeaving: true});
	pressure.learn('shop.example/look/', {...answered, isCall: true});
	assert.equal((await send()).result.kind, 'answer');
	assert.equal(carried[0]?.depth, 1);
});

test('a whole request is refused at the entry when a service behind it is short of room', async () => {
	const {send, carried, pressure} = start({policy});
	pressure.learn('shop.example/look/', {
		...answered,
		footprint: [['rules', 160]],
		shares: [['rules', 0.25, 0]],
	});
	let retryAfterMs = 0;
	for (let request = 0; request < 40; request++) {
		const {result} = await send();
		if (result.kind === 'refusal') {
			assert.equal(result.run, runStates.notRun);
			assert.equal(result.by, 'rules');
			retryAfterMs = result.retryAfterMs ?? 0;
		}
	}

	assert.ok(Math.abs(carried.length - 10) <= 2, String(carried.length));
	// A third of the caller's time at most, and early enough for an answer within the goal.
	assert.ok(retryAfterMs > 500 && retryAfterMs < Math.min(5000 / 3, 1500), String(retryAfterMs));
});
