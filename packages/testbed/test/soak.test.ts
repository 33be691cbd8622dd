import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSystemClock} from '@medlarsaddle/core';
import {answerBodyOf} from '../src/soak/answer-body-of.js';
import {findViolations} from '../src/soak/find-violations.js';
import {drawSteps} from '../src/soak/draw-steps.js';
import type {SoakRecord} from '../src/soak/soak-record.js';
import type {SentRequest} from '../src/soak/sent-request.js';
import {Soak} from '../src/soak/soak.js';
import {soakCases} from '../src/soak/soak-cases.js';

const request: SentRequest = {
	id: 'x-1',
	host: 'h1',
	life: 1,
	target: '/pay/x-1',
	body: 'content',
	isIdempotent: false,
	deadlineMs: 2000,
	sentMs: 1000,
	endMs: 1040,
	status: 200,
	answer: {id: 'x-1', seal: 's', body: answerBodyOf('x-1')},
};
const run = {
	id: 'x-1',
	instance: 'i-1',
	service: 'payment',
	target: '/pay/x-1',
	body: 'content',
	atMs: 1010,
};
const intactRecord: SoakRecord = {
	sent: [request],
	runs: [run],
	drains: [],
	stops: [],
	harm: [],
	stalls: [],
	versions: new Map([
		['/only-1/', 1],
		['/only-2/', 2],
	]),
};
const interruptedRequest: SentRequest = {
	...request,
	status: undefined,
	answer: undefined,
	error: 'socket closed',
};
const servedByVersion = (version: number, sentMs: number): SentRequest => {
	const id = `v-${version}`;
	const answer = {id, seal: 's', body: answerBodyOf(id)};
	const target = `/only-${version}/${id}`;
	return {...request, id, target, answer, isIdempotent: true, sentMs, endMs: sentMs + 10};
};

const violatingRecords: ReadonlyArray<
	readonly [name: string, record: Partial<SoakRecord>, told: RegExp]
> = [
	['is executed twice', {runs: [run, {...run, instance: 'i-2'}]}, /ran 2 times/v],
	[
		'is executed although refused',
		{sent: [{...request, status: 503}]},
		/although it was answered 503/v,
	],
	[
		'receives the answer of another request',
		{sent: [{...request, answer: {...request.answer!, id: 'x-2'}}]},
		/not its own/v,
	],
	[
		'receives a truncated answer',
		{sent: [{...request, answer: {...request.answer!, body: 'x-1;'}}]},
		/not whole/v,
	],
	[
		'receives no seal',
		{sent: [{...request, answer: {...request.answer!, seal: undefined}}]},
		/seal/v,
	],
	['is executed but was never sent', {runs: [run, {...run, id: 'x-2'}]}, /nobody sent/v],
	['is executed with another body', {runs: [{...run, body: 'other'}]}, /nobody sent/v],
	[
		'reaches a drained upstream',
		{drains: [{instance: 'i-1', confirmedMs: -2000}]},
		/after its leaving was confirmed/v,
	],
	[
		'is routed by an older configuration version',
		{sent: [servedByVersion(2, 100), servedByVersion(1, 200)], runs: []},
		/after v-2 had run by version 2/v,
	],
	[
		'has no answer after its deadline',
		{sent: [{...interruptedRequest, gaveUp: true, endMs: 4500}]},
		/no answer long after its deadline at h1/v,
	],
	[
		'is interrupted by a planned stop',
		{sent: [interruptedRequest], stops: [{host: 'h1', life: 1, atMs: 1020}]},
		/planned stop of h1/v,
	],
	[
		'is answered by a stopping node in place of its upstream',
		{
			sent: [{...request, status: 504, answer: {...request.answer!, seal: undefined}}],
			stops: [{host: 'h1', life: 1, atMs: 1020}],
		},
		/answered 504 by the stopping node h1/v,
	],
	[
		'is taken late by a stopping node, runs and gets no answer',
		{
			sent: [{...interruptedRequest, sentMs: 4500, endMs: 6000}],
			runs: [{...run, atMs: 4510}],
			stops: [{host: 'h1', life: 1, atMs: 1020}],
		},
		/taken by the stopping node h1 after 3480 ms/v,
	],
	[
		'is cut off while its upstream works on it',
		{
			sent: [{...request, status: 504, answer: {...request.answer!, seal: undefined}}],
			runs: [{...run, cutMs: 1310}],
		},
		/cut off at i-1 after 300 ms of work/v,
	],
];

for (const [name, record, expected] of violatingRecords) {
	test(`the soak reports a request that ${name}`, () => {
		assert.match(findViolations({...intactRecord, ...record}).join('\n'), expected);
	});
}

test('the soak reports no violation when all guarantees hold', () => {
	assert.deepEqual(findViolations(intactRecord), []);
	const stops = [{host: 'h1', life: 1, atMs: 1020}];
	assert.deepEqual(
		findViolations({
			...intactRecord,
			sent: [interruptedRequest],
			stops,
			harm: [{fromMs: 0, toMs: 900}],
		}),
		[],
	);
	assert.deepEqual(
		findViolations({
			...intactRecord,
			sent: [servedByVersion(1, 100), servedByVersion(2, 200)],
			runs: [],
		}),
		[],
	);
});

test('the same seed always draws the same steps', () => {
	const opts = {hosts: 4, lengthMs: 60_000};
	assert.deepEqual(drawSteps({...opts, seed: 7}), drawSteps({...opts, seed: 7}));
	assert.notDeepEqual(drawSteps({...opts, seed: 7}), drawSteps({...opts, seed: 8}));
	const kinds = new Set(drawSteps({...opts, seed: 7, lengthMs: 600_000}).map(({kind}) => kind));
	assert.equal(kinds.size, 17);
});

for (const {cause, ...opts} of soakCases) {
	test(`real programs keep their guarantees under the faults of seed ${opts.seed}: ${cause}`, async () => {
		const clock = createSystemClock();
		const ended = await Soak.run({clock, ...opts});
		assert.deepEqual(ended.violations, []);
		assert.ok(ended.record.sent.some(({status}) => status === 200));
	});
}
