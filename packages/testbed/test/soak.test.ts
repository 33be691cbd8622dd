import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSystemClock} from '@medlarsaddle/core';
import {bodyOf} from '../src/soak/body-of.js';
import {brokenPromises} from '../src/soak/broken-promises.js';
import {drawSteps} from '../src/soak/draw-steps.js';
import type {SoakRecord} from '../src/soak/soak-record.js';
import type {Sent} from '../src/soak/sent.js';
import {Soak} from '../src/soak/soak.js';
import {soakCases} from '../src/soak/soak-cases.js';

const sent: Sent = {
	id: 'x-1',
	host: 'h1',
	life: 1,
	target: '/pay/x-1',
	body: 'content',
	isIdempotent: false,
	sentMs: 1000,
	endMs: 1040,
	status: 200,
	answer: {id: 'x-1', seal: 's', body: bodyOf('x-1')},
};
const run = {
	id: 'x-1',
	instance: 'i-1',
	service: 'payment',
	target: '/pay/x-1',
	body: 'content',
	atMs: 1010,
};
const kept: SoakRecord = {
	sent: [sent],
	runs: [run],
	drains: [],
	stops: [],
	harm: [],
	versions: new Map([
		['/only-1/', 1],
		['/only-2/', 2],
	]),
};
const cut: Sent = {...sent, status: undefined, answer: undefined, error: 'socket closed'};
const by = (version: number, sentMs: number): Sent => {
	const id = `v-${version}`;
	const answer = {id, seal: 's', body: bodyOf(id)};
	const target = `/only-${version}/${id}`;
	return {...sent, id, target, answer, isIdempotent: true, sentMs, endMs: sentMs + 10};
};

const brokenRecords: ReadonlyArray<
	readonly [name: string, record: Partial<SoakRecord>, told: RegExp]
> = [
	['runs twice', {runs: [run, {...run, instance: 'i-2'}]}, /ran 2 times/v],
	['runs though refused', {sent: [{...sent, status: 503}]}, /although it was answered 503/v],
	[
		'gets another answer',
		{sent: [{...sent, answer: {...sent.answer!, id: 'x-2'}}]},
		/not its own/v,
	],
	['gets a part', {sent: [{...sent, answer: {...sent.answer!, body: 'x-1;'}}]}, /not whole/v],
	['gets no seal', {sent: [{...sent, answer: {...sent.answer!, seal: undefined}}]}, /seal/v],
	['is invented', {runs: [run, {...run, id: 'x-2'}]}, /nobody sent/v],
	['is changed', {runs: [{...run, body: 'other'}]}, /nobody sent/v],
	[
		'reaches an upstream that left',
		{drains: [{instance: 'i-1', confirmedMs: -2000}]},
		/after its leaving was confirmed/v,
	],
	['goes back', {sent: [by(2, 100), by(1, 200)], runs: []}, /after v-2 had run by version 2/v],
	['is cut', {sent: [cut], stops: [{host: 'h1', life: 1, atMs: 1020}]}, /planned stop of h1/v],
];

for (const [name, record, told] of brokenRecords) {
	test(`the soak tells a request that ${name}`, () => {
		assert.match(brokenPromises({...kept, ...record}).join('\n'), told);
	});
}

test('the soak finds nothing where the promises were kept', () => {
	assert.deepEqual(brokenPromises(kept), []);
	const stops = [{host: 'h1', life: 1, atMs: 1020}];
	assert.deepEqual(
		brokenPromises({...kept, sent: [cut], stops, harm: [{fromMs: 0, toMs: 900}]}),
		[],
	);
	assert.deepEqual(brokenPromises({...kept, sent: [by(1, 100), by(2, 200)], runs: []}), []);
});

test('a seed always draws the same steps', () => {
	const opts = {hosts: 4, lengthMs: 60_000};
	assert.deepEqual(drawSteps({...opts, seed: 7}), drawSteps({...opts, seed: 7}));
	assert.notDeepEqual(drawSteps({...opts, seed: 7}), drawSteps({...opts, seed: 8}));
	const kinds = new Set(drawSteps({...opts, seed: 7, lengthMs: 600_000}).map(({kind}) => kind));
	assert.equal(kinds.size, 12);
});

for (const {seed, cause} of soakCases) {
	test(`real programs keep their promises under the faults of seed ${seed}: ${cause}`, async () => {
		const clock = createSystemClock();
		const ended = await Soak.run({clock, seed, hosts: 4, callersPerHost: 2, lengthMs: 5000});
		assert.deepEqual(ended.broken, []);
		assert.ok(ended.record.sent.some(({status}) => status === 200));
	});
}
