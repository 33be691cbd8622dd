import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock, faultKinds} from '@medlarsaddle/core';
import fc from 'fast-check';
import {IssuedKey, KeyLedger, keyStates} from '../src/index.js';

const seed = 5;
const rememberMs = 1000;

const create = (clock: ManualClock, node = 'a', incarnation = 1, secret = 's1') =>
	KeyLedger.create<string>({
		clock,
		dataCentre: 'dc1',
		node,
		incarnation,
		secret,
		rememberMs,
		maxRecords: 50,
	});

const parse = (text: string) => IssuedKey.parse(text)._unsafeUnwrap();

/** Steps that can come in any order: sends, ends of a run, time, and a replacement of the process. */
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

test('no order of sends, losses, waits and replacements runs a key twice', () => {
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
						const heir = create(clock, 'a', incarnation, `s${incarnation}`);
						const {estates, records} = ledger.handOver();
						heir.takeRecords(records);
						heir.adopt(estates);
						const closed = ledger.begin(keys[0]!, 'print');
						assert.notEqual(closed.isOk() && closed.value.state, keyStates.unused);
						ledger = heir;
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

test('a resend gets the answer of the first run, also while it is still open', async () => {
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
	['made up with a good name', () => 'dc1~a~1~0~0~AAAAAAAAAAAA', 'print', faultKinds.keyUnknown],
] as const;

for (const [what, issue, print, kind] of refused) {
	test(`a key ${what} is never started`, () => {
		const clock = ManualClock.at(0);
		const begun = create(clock).begin(parse(issue(clock)), print);
		assert.equal(begun._unsafeUnwrapErr().kind, kind);
	});
}

test('a key used for another request is refused', () => {
	const ledger = create(ManualClock.at(0));
	const key = parse(ledger.issue());
	ledger.begin(key, 'one');
	assert.equal(ledger.begin(key, 'two')._unsafeUnwrapErr().kind, faultKinds.keyInvalid);
});

test('a key older than the memory is unknown, used or not', async () => {
	const clock = ManualClock.at(0);
	const ledger = create(clock);
	const [used, fresh] = [parse(ledger.issue()), parse(ledger.issue())];
	ledger.begin(used, 'print');
	ledger.finish(used, 'answer');
	await clock.advance(rememberMs);
	assert.equal(ledger.begin(used, 'print')._unsafeUnwrap().state, keyStates.unknown);
	assert.equal(ledger.begin(fresh, 'print')._unsafeUnwrap().state, keyStates.unknown);
	assert.equal(ledger.size, 0);
});

test('an heir starts the unused keys of a closed ledger, and answers the used ones', async () => {
	const clock = ManualClock.at(0);
	const [before, heir] = [create(clock), create(clock, 'b', 2, 's2')];
	const [used, open, fresh] = [before, before, before].map(ledger => parse(ledger.issue()));
	before.begin(used!, 'print');
	before.finish(used!, 'paid');
	before.begin(open!, 'print');
	const {estates, records} = before.handOver();
	heir.takeRecords(records);
	assert.equal(heir.begin(fresh!, 'print')._unsafeUnwrapErr().kind, faultKinds.keyUnknown);
	heir.adopt(estates);
	assert.equal(heir.begin(used!, 'print')._unsafeUnwrap().state, keyStates.done);
	assert.equal(heir.begin(open!, 'print')._unsafeUnwrap().state, keyStates.unknown);
	assert.equal(heir.begin(fresh!, 'print')._unsafeUnwrap().state, keyStates.unused);
	assert.equal(before.begin(fresh!, 'print')._unsafeUnwrap().state, keyStates.unknown);
});

test('malformed keys are faults, whatever their text', () => {
	fc.assert(
		fc.property(fc.string({unit: 'binary'}), text => {
			IssuedKey.parse(text);
		}),
		{seed},
	);
	assert.equal(IssuedKey.parse('my-uuid')._unsafeUnwrapErr().kind, faultKinds.keyInvalid);
});
