import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '@medlarsaddle/core';
import {type CallRequest, endReasons} from '@medlarsaddle/wire';
import type {ConnectionPool} from '../src/upstream/connection-pool.js';
import {InFlightCall} from '../src/upstream/in-flight-call.js';
import {SilenceDetector} from '../src/upstream/silence-detector.js';

const request: CallRequest = {
	service: 'pay',
	job: 'PAY',
	method: 'PUT',
	path: '/',
	headers: [],
	body: new Uint8Array(),
	rootId: 'a',
	rank: 0,
	cohort: 0,
	remainingMs: 400,
	allowance: 0,
	depth: 0,
	idempotent: false,
};

const pool = {isAnswering: async () => true, requireProbes() {}} as unknown as ConnectionPool;

const watch = () => {
	const clock = ManualClock.at(0);
	const caller = new AbortController();
	let abortedMs: number | undefined;
	const {stop, endReason} = SilenceDetector.create(clock).watch({
		call: InFlightCall.open(request, caller.signal, clock),
		pool,
		baselineMs: undefined,
		signal: caller.signal,
		onStalled() {},
		abort() {
			abortedMs = clock.monotonic();
		},
	});
	return {caller, clock, endReason, stop, abortedMs: () => abortedMs};
};

// Under overload most calls that are late end at the upstream's own deadline. Closing the connection
// at the same moment loses its answer and costs a new connection for each of them.
test('an upstream that stops at the deadline has time to say so', async () => {
	const {clock, endReason, stop} = watch();
	await clock.advance(420);
	assert.equal(endReason(), undefined);
	stop();
	await clock.advance(1000);
	assert.equal(endReason(), undefined);
});

test('a call without an answer is aborted soon after its deadline', async () => {
	const {abortedMs, endReason, clock} = watch();
	await clock.advance(1000);
	assert.equal(abortedMs(), 450);
	assert.equal(endReason(), endReasons.deadline);
});

test('a call whose caller leaves is aborted at once', async () => {
	const {abortedMs, endReason, caller, clock} = watch();
	await clock.advance(100);
	caller.abort();
	assert.equal(abortedMs(), 100);
	assert.equal(endReason(), endReasons.callerLeft);
});

// The upstream is asked on a new connection. A call that ended before it answered had its connection
// returned to the pool, and the watch then ended whichever call it carried next.
for (const isAnswering of [true, false]) {
	const reply = isAnswering ? 'that it works' : 'nothing';
	test(`a watch that has stopped ends the next call on its connection, when the upstream answers ${reply}`, async () => {
		const clock = ManualClock.at(0);
		const {signal} = new AbortController();
		let answer: (isUp: boolean) => void = () => {};
		const asked = new Promise<boolean>(resolve => {
			answer = resolve;
		});
		let aborts = 0;
		const {stop} = SilenceDetector.create(clock).watch({
			call: InFlightCall.open({...request, idempotent: true}, signal, clock),
			pool: {...pool, isAnswering: async () => asked} as unknown as ConnectionPool,
			baselineMs: 10,
			signal,
			abort() {
				aborts++;
			},
			onStalled() {},
		});
		await clock.advance(310);
		stop();
		answer(isAnswering);
		await clock.advance(1000);
		assert.equal(aborts, 0);
	});
}

// An upstream whose calls wait for a slow service answers its health check as well.
test('a call is ended as silent while its upstream may be at work', async () => {
	const clock = ManualClock.at(0);
	const {signal} = new AbortController();
	const events: string[] = [];
	const {endReason} = SilenceDetector.create(clock).watch({
		call: InFlightCall.open({...request, idempotent: true}, signal, clock),
		pool,
		baselineMs: 10,
		signal,
		abort() {
			events.push(`aborted at ${clock.monotonic()}`);
		},
		onStalled(sign) {
			events.push(`${sign} at ${clock.monotonic()}`);
		},
	});
	await clock.advance(1000);
	assert.deepEqual(events, ['unanswered at 300', 'aborted at 450']);
	assert.equal(endReason(), endReasons.deadline);
});

test('a call at an upstream that was withdrawn is not tried elsewhere', async () => {
	const clock = ManualClock.at(0);
	const {signal} = new AbortController();
	const signs: string[] = [];
	const {stop} = SilenceDetector.create(clock).watch({
		call: InFlightCall.open({...request, idempotent: true}, signal, clock),
		pool: {...pool, isRetired: true, isAnswering: async () => false} as unknown as ConnectionPool,
		baselineMs: 10,
		signal,
		abort() {},
		onStalled(sign) {
			signs.push(sign);
		},
	});
	await clock.advance(310);
	assert.deepEqual(signs, ['withdrawn']);
	stop();
});
