import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, faultKinds} from '@medlarsaddle/core';
import fc from 'fast-check';
import {IdempotencyKey, KeyLedger, keyStates} from '../src/index.js';

const seed = 5;
const retentionMs = 1000;

const create = (clock: ManualClock, node = 'a', incarnation = 1, secret = 's1') =>
	KeyLedger.create<string>({
		clock,
		dataCentre: 'dc1',
		node,
		incarnation,
		secret,
		retentionMs,
		maxRecords: 50,
	});

const parse = (text: string) => IdempotencyKey.parse(text)._unsafeUnwrap();

/** Steps in any order: a send, the end of a run, a wait, a process restart, a handover. */
const step = fc.oneof(
	fc.record({kind: fc.constant('send' as const), key: fc.nat(3)}),
	fc.record({
		kind: fc.constant('end' as const),
		key: fc.nat(3),
		how: fc.constantFrom('finish', 'lose', 'notRun'),
	}),
	fc.record({kind: fc.constant('wait' as const), ms: fc.nat(800)}),
	fc.record({kind: fc.constant('replace' as const)}),
	fc.record({kind: fc.constant('handOver' as const)}),
);

test('no sequence of sends, lost outcomes, waits, restarts and handovers runs a key twice', () => {
	fc.assert(
		fc.property(fc.array(step, {maxLength: 40}), steps => {
			const clock = ManualClock.at(5000);
			let ledger = create(clock);
			const keys = Array.from({length: 4}, () => parse(ledger.issue()));
			const runs = keys.map(() => 0);
			const running = new Set<number>();
			let incarnation = 1;
			for (const action of steps) {
				switch (action.kind) {
					case 'send': {
						const begun = ledger.begin(keys[action.key]!, 'print');
						if (begun.isOk() && begun.value.state === keyStates.unused) {
							runs[action.key]!++;
							running.add(action.key);
						}

						break;
					}

					case 'end': {
						if (running.delete(action.key)) {
							if (action.how === 'notRun') {
								runs[action.key]!--;
								ledger.notRun(keys[action.key]!, 'not run');
							} else {
								ledger[action.how](keys[action.key]!, 'answer');
							}
						}

						break;
					}

					case 'wait': {
						void clock.advance(action.ms);
						break;
					}

					case 'handOver': {
						incarnation++;
						const successor = create(clock, 'a', incarnation, `s${incarnation}`);
						const {estates, records} = ledger.handOver();
						successor.importRecords(records);
						successor.adoptIssuers(estates);
						const closed = ledger.begin(keys[0]!, 'print');
						assert.notEqual(closed.isOk() && closed.value.state, keyStates.unused);
						ledger = successor;
						running.clear();
						break;
					}

					case 'replace': {
						incarnation++;
						ledger = create(clock, 'a', incarnation, `s${incarnation}`);
						running.clear();
						break;
					}
				}

				assert.ok(runs.every(count => count <= 1));
			}
		}),
		{seed, numRuns: 2000},
	);
});

test('a resend gets the answer of the first run, even while that run is in progress', async () => {
	const ledger = create(ManualClock.at(0));
	const key = parse(ledger.issue());
	ledger.begin(key, 'print');
	const second = ledger.begin(key, 'print')._unsafeUnwrap();
	assert.equal(second.state, keyStates.running);
	ledger.finish(key, 'paid');
	assert.equal(await (second as {outcome: Promise<string>}).outcome, 'paid');
	const third = ledger.begin(key, 'print')._unsafeUnwrap();
	assert.equal(third.state, keyStates.done);
});

const refused = [
	[
		'issued by another process',
		(clock: ManualClock) => create(clock, 'a', 2, 's2').issue(),
		'print',
		faultKinds.keyUnknown,
	],
	[
		'issued by another node',
		(clock: ManualClock) => create(clock, 'b').issue(),
		'print',
		faultKinds.keyUnknown,
	],
	['with a forged signature', () => 'dc1~a~1~0~0~AAAAAAAAAAAA', 'print', faultKinds.keyUnknown],
] as const;

for (const [origin, issue, fingerprint, kind] of refused) {
	test(`a key ${origin} is never started`, () => {
		const clock = ManualClock.at(0);
		const begun = create(clock).begin(parse(issue(clock)), fingerprint);
		assert.equal(begun._unsafeUnwrapErr().kind, kind);
	});
}

test('a key used for another request is refused', () => {
	const ledger = create(ManualClock.at(0));
	const key = parse(ledger.issue());
	ledger.begin(key, 'one');
	assert.equal(ledger.begin(key, 'two')._unsafeUnwrapErr().kind, faultKinds.keyInvalid);
});

test('a key older than the retention time is unknown, used or not', async () => {
	const clock = ManualClock.at(0);
	const ledger = create(clock);
	const [used, unused] = [parse(ledger.issue()), parse(ledger.issue())];
	ledger.begin(used, 'print');
	ledger.finish(used, 'answer');
	await clock.advance(retentionMs);
	assert.equal(ledger.begin(used, 'print')._unsafeUnwrap().state, keyStates.unknown);
	assert.equal(ledger.begin(unused, 'print')._unsafeUnwrap().state, keyStates.unknown);
	assert.equal(ledger.size, 0);
});

test('a successor starts the unused keys of a closed ledger and answers the used ones', async () => {
	const clock = ManualClock.at(0);
	const [predecessor, successor] = [create(clock), create(clock, 'b', 2, 's2')];
	const [used, pending, unused] = [predecessor, predecessor, predecessor].map(ledger =>
		parse(ledger.issue()),
	);
	predecessor.begin(used!, 'print');
	predecessor.finish(used!, 'paid');
	predecessor.begin(pending!, 'print');
	const {estates, records} = predecessor.handOver();
	successor.importRecords(records);
	assert.equal(successor.begin(unused!, 'print')._unsafeUnwrapErr().kind, faultKinds.keyUnknown);
	successor.adoptIssuers(estates);
	assert.equal(successor.begin(used!, 'print')._unsafeUnwrap().state, keyStates.done);
	assert.equal(successor.begin(pending!, 'print')._unsafeUnwrap().state, keyStates.unknown);
	assert.equal(successor.begin(unused!, 'print')._unsafeUnwrap().state, keyStates.unused);
	assert.equal(predecessor.begin(unused!, 'print')._unsafeUnwrap().state, keyStates.unknown);
});

test('parsing a key never throws, and a malformed key is a fault', () => {
	fc.assert(
		fc.property(fc.string({unit: 'binary'}), text => {
			IdempotencyKey.parse(text);
		}),
		{seed},
	);
	assert.equal(IdempotencyKey.parse('my-uuid')._unsafeUnwrapErr().kind, faultKinds.keyInvalid);
});
