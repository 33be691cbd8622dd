import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {codec} from '../src/codec.js';
import {frames} from '../src/frames.js';
import {messageCodec} from '../src/message-codec.js';

const attempt = <T>(act: () => T): T | Error => {
	try {
		return act();
	} catch (error) {
		return error as Error;
	}
};

test('arbitrary bytes are split into frames or rejected, and none is lost', () => {
	fc.assert(
		fc.property(fc.uint8Array({maxLength: 200}), bytes => {
			const split = attempt(() => frames.split(Buffer.from(bytes)));
			if (split instanceof Error) {
				assert.ok(split instanceof RangeError);
				return;
			}

			const payloadBytes = split.payloads.reduce((sum, {length}) => sum + length + 4, 0);
			assert.equal(payloadBytes + split.rest.length, bytes.length);
		}),
		{seed: 1, numRuns: 500},
	);
});

test('an arbitrary payload is a message with a type or is rejected', () => {
	const payload = fc.oneof(
		fc.uint8Array({maxLength: 100}),
		fc.anything().map(value => attempt(() => codec.encode(value))),
		fc
			.tuple(fc.constantFrom('call', 'outcome', 'cancel'), fc.array(fc.anything(), {maxLength: 6}))
			.map(([type, fields]) => attempt(() => codec.encode([type, ...fields]))),
	);
	fc.assert(
		fc.property(payload, bytes => {
			if (bytes instanceof Error) {
				return;
			}

			const message = attempt(() => messageCodec.decode(bytes));
			assert.ok(message instanceof Error || typeof message.type === 'string');
		}),
		{seed: 2, numRuns: 500},
	);
});

for (const status of [undefined, 0, 99, 100, 600, 200.5, '200']) {
	test(`an answer of another node with the status ${String(status)} is passed on`, () => {
		const outcome = [['answer', status, [], new Uint8Array()], [], null, 0, 0];
		assert.throws(() => messageCodec.decode(codec.encode(['outcome', 7, outcome])), TypeError);
	});
}
