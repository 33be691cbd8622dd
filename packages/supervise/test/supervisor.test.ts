import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import {type Child, Supervisor, restartPolicies} from '../src/index.js';

const untilAborted = async (signal: AbortSignal): Promise<void> =>
	new Promise(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});

const setUp = (children: readonly Child[], maxRestarts = 3) => {
	const clock = ManualClock.at(0);
	const events: string[] = [];
	const log = ({code}: {code: string}) => {
		events.push(code);
	};

	const supervisor = Supervisor.create({name: 'test', clock, log, maxRestarts}, children);
	return {clock, events, supervisor};
};

test('children start in order, each when the previous is ready, and stop in reverse', async () => {
	const steps: string[] = [];
	const child = (name: string): Child => ({
		name,
		restart: restartPolicies.always,
		async task(signal, ready) {
			steps.push(`start ${name}`);
			await Promise.resolve();
			steps.push(`ready ${name}`);
			ready();
			await untilAborted(signal);
			steps.push(`stop ${name}`);
		},
	});
	const {supervisor} = setUp([child('a'), child('b')]);
	const abort = new AbortController();
	await new Promise<void>(resolve => {
		void supervisor.run(abort.signal, resolve).then(() => {
			steps.push('ended');
		});
	});
	abort.abort();
	await new Promise(setImmediate);
	assert.deepEqual(steps, [
		'start a',
		'ready a',
		'start b',
		'ready b',
		'stop b',
		'stop a',
		'ended',
	]);
});

test('a child that throws is restarted with exponential backoff', async () => {
	const startsMs: number[] = [];
	const {clock, supervisor} = setUp([
		{
			name: 'fails twice',
			restart: restartPolicies.onFailure,
			async task(signal, ready) {
				startsMs.push(clock.monotonic());
				if (startsMs.length < 3) {
					throw new Error('not yet');
				}

				ready();
				await untilAborted(signal);
			},
		},
	]);
	const abort = new AbortController();
	const ended = supervisor.run(abort.signal, () => {});
	await clock.advance(1000);
	abort.abort();
	await ended;
	assert.deepEqual(startsMs, [0, 20, 60]);
});

test('a child over the restart limit ends its supervisor and stops its siblings', async () => {
	let isSiblingStopped = false;
	const {clock, events, supervisor} = setUp([
		{
			name: 'sibling',
			restart: restartPolicies.always,
			async task(signal, ready) {
				ready();
				await untilAborted(signal);
				isSiblingStopped = true;
			},
		},
		{
			name: 'broken',
			restart: restartPolicies.always,
			async task() {
				throw new Error('broken');
			},
		},
	]);
	const failure = assert.rejects(
		supervisor.run(new AbortController().signal, () => {}),
		/broken failed too often/v,
	);
	await clock.advance(10_000);
	await failure;
	assert.ok(isSiblingStopped);
	assert.equal(events.filter(code => code === 'MS1101').length, 4);
	assert.equal(events.at(-1), 'MS1102');
});

test('a nested supervisor escalates its failure to its parent', async () => {
	const {clock, supervisor: inner} = setUp(
		[
			{
				name: 'broken',
				restart: restartPolicies.always,
				async task() {
					throw new Error('broken');
				},
			},
		],
		0,
	);
	const log = () => {};
	const outer = Supervisor.create({name: 'outer', clock, log, maxRestarts: 0}, [
		{name: 'inner', task: inner.run, restart: restartPolicies.always},
	]);
	const failure = assert.rejects(
		outer.run(new AbortController().signal, () => {}),
		/inner failed too often/v,
	);
	await clock.advance(1000);
	await failure;
});

test('a child that ignores its abort signal is left behind after the stop timeout', async () => {
	const {clock, events, supervisor} = setUp([
		{
			name: 'ignores abort',
			restart: restartPolicies.never,
			async task(_signal, ready) {
				ready();
				await new Promise(() => {});
			},
		},
	]);
	const abort = new AbortController();
	const ended = supervisor.run(abort.signal, () => {});
	await clock.advance(0);
	abort.abort();
	await clock.advance(20_000);
	await ended;
	assert.deepEqual(events, ['MS1103']);
});
