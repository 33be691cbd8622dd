import assert from 'node:assert/strict';
import {test} from 'node:test';
import {IdempotencyKey, KeyLedger} from '@medlarsaddle/control';
import {ManualClock} from '@medlarsaddle/core';
import type {Gossip, Member} from '@medlarsaddle/members';
import type {Answer, CallOutcome, CallRequest} from '@medlarsaddle/wire';
import type {AnswerStore} from '../src/calls/answer-store.js';
import type {CallSender} from '../src/calls/call-sender.js';
import type {EndpointDirectory} from '../src/calls/endpoint-directory.js';
import {KeyedCallRunner} from '../src/calls/keyed-call-runner.js';
import type {Peers} from '../src/peers/peers.js';

const clock = ManualClock.at(5000);
const stored: Answer = {kind: 'answer', status: 200, headers: [], body: new Uint8Array()};

test('a stored answer is not found because the link to the issuer of its key is silent', async () => {
	const parts = {dataCentre: 'dc1', node: 'issuer', incarnation: 1, issuedMs: 5000, sequence: 0};
	const {text} = IdempotencyKey.create(parts, 'secret');
	const runner = KeyedCallRunner.create({
		clock,
		ledger: KeyLedger.create<CallOutcome>({
			clock,
			dataCentre: 'dc1',
			node: 'entry',
			incarnation: 1,
			secret: 'secret',
			retentionMs: 1000,
			maxRecords: 50,
		}),
		answers: {find: () => stored} as unknown as AnswerStore,
		sender: {} as unknown as CallSender,
		// Nothing comes on the link but the report that it is silent.
		peers: {
			async call(_member: Member, {onStalled}: Parameters<Peers['call']>[1]) {
				onStalled?.(0);
				return new Promise(() => {});
			},
		} as unknown as Peers,
		directory: {
			memberOf: () => ({id: 'issuer', incarnation: 1}),
		} as unknown as EndpointDirectory,
		gossip: {self: {id: 'entry', group: 'dc1'}} as unknown as Gossip,
	});
	const request: CallRequest = {
		service: 'pay',
		job: 'PAY',
		method: 'PUT',
		path: '/',
		headers: [],
		body: new Uint8Array(),
		rootId: 'r',
		rank: 0,
		cohort: 0,
		remainingMs: 2000,
		allowance: 0,
		depth: 0,
		idempotent: false,
		key: text,
	};
	const {result} = await runner.run(request, new AbortController().signal);
	assert.deepEqual(result, stored);
});
