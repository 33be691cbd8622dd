import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {messageCodec} from '../src/message-codec.js';
import {messageTypes} from '../src/message-types.js';
import type {Message} from '../src/message.js';

const text = fc.string({maxLength: 12});
const number = fc.oneof(fc.nat(100_000), fc.double({noNaN: true, min: 0, max: 100_000}));
const bytes = fc.uint8Array({maxLength: 40});
const answer = fc.record({
	kind: fc.constant('answer' as const),
	status: fc.integer({min: 200, max: 599}),
	headers: fc.array(text, {maxLength: 6}),
	body: bytes,
});
const refusal = fc.record(
	{
		kind: fc.constant('refusal' as const),
		fault: fc.constantFrom('overloaded' as const, 'deadline' as const),
		what: text,
		remedy: text,
		run: fc.constantFrom('not-run' as const, 'unknown' as const),
		retryAfterMs: number,
		final: fc.boolean(),
		by: text,
		limit: number,
	},
	{requiredKeys: ['kind', 'fault', 'what', 'remedy', 'run']},
);
const outcome = fc.record(
	{
		result: fc.oneof(answer, refusal),
		cutoffs: fc.array(fc.nat(1000), {maxLength: 3}),
		pressedBy: text,
		load: number,
		unspent: fc.nat(5),
		slowest: fc.record({service: text, ms: number}),
		state: fc.record(
			{waitMs: number, limit: number, heldMs: number},
			{requiredKeys: ['waitMs', 'limit']},
		),
		footprint: fc.array(fc.tuple(text, number), {maxLength: 3}),
		shares: fc.array(fc.tuple(text, number, number), {maxLength: 3}),
		isCall: fc.boolean(),
		refusedBelow: text,
	},
	{requiredKeys: ['result', 'cutoffs', 'load', 'unspent']},
);
const request = fc.record(
	{
		service: text,
		job: text,
		method: text,
		path: text,
		headers: fc.array(text, {maxLength: 6}),
		body: bytes,
		rootId: text,
		rank: fc.nat(9),
		cohort: fc.nat(9),
		remainingMs: number,
		allowance: fc.nat(5),
		depth: fc.nat(14),
		idempotent: fc.boolean(),
		goalMs: number,
		origin: text,
		key: text,
	},
	{
		requiredKeys: [
			'service',
			'job',
			'method',
			'path',
			'headers',
			'body',
			'rootId',
			'rank',
			'cohort',
			'remainingMs',
			'allowance',
			'depth',
			'idempotent',
		],
	},
);
const message = fc.oneof(
	fc.record({
		type: fc.constant(messageTypes.call),
		id: fc.nat(),
		mode: fc.constantFrom('run' as const, 'own' as const, 'spill' as const),
		request,
	}),
	fc.record({type: fc.constant(messageTypes.outcome), id: fc.nat(), outcome}),
	fc.record({type: fc.constant(messageTypes.cancel), id: fc.nat()}),
) as fc.Arbitrary<Message>;

/**
 * Converts byte arrays to hex: decoded ones are Buffer views, which deepEqual tells from
 * Uint8Array.
 */
const toPlainJson = (value: unknown): unknown =>
	JSON.parse(
		JSON.stringify(value, (_name, field: unknown) =>
			field instanceof Uint8Array ? Buffer.from(field).toString('hex') : field,
		),
	);

// `toJSON` of a Buffer runs before the replacer of `toPlainJson`, so bodies become plain arrays.
const comparable = (read: Message): unknown => {
	if (read.type === messageTypes.call) {
		const {request} = read;
		return toPlainJson({...read, request: {...request, body: new Uint8Array(request.body)}});
	}

	if (read.type === messageTypes.outcome && read.outcome.result.kind === 'answer') {
		const {result} = read.outcome;
		const withBody = {...result, body: new Uint8Array(result.body)};
		return toPlainJson({...read, outcome: {...read.outcome, result: withBody}});
	}

	return toPlainJson(read);
};

test('messages survive encoding and decoding, with optional fields present or absent', () => {
	fc.assert(
		fc.property(message, sent => {
			const read = messageCodec.decode(messageCodec.encode(sent));
			assert.deepEqual(comparable(read), toPlainJson(sent));
		}),
		{seed: 20_261_204, numRuns: 500},
	);
});

test('call messages carry no field names', () => {
	fc.assert(
		fc.property(request, sent => {
			const encoded = messageCodec.encode({
				type: messageTypes.call,
				id: 1,
				mode: 'run',
				request: sent,
			});
			assert.ok(!encoded.includes('remainingMs'));
		}),
		{seed: 20_261_204, numRuns: 50},
	);
});

test('decoding throws on bytes that are not a message', () => {
	for (const malformed of [
		'c0',
		'01',
		'a161',
		'91a763616e63656c',
		'93a763616c6c01a372756e',
		'92a4736f6d6501',
	]) {
		assert.throws(() => messageCodec.decode(Buffer.from(malformed, 'hex')));
	}
});

test('a large body is lost or changed where it is sent without a copy', () => {
	const body = Buffer.alloc(100_000, 'body placeholder');
	const sample = fc.sample(fc.tuple(request, outcome), {seed: 36, numRuns: 50});
	for (const [callRequest, callOutcome] of sample) {
		const result = {kind: 'answer', status: 200, headers: ['a', 'b'], body} as const;
		const messages: Message[] = [
			{type: messageTypes.call, id: 7, mode: 'run', request: {...callRequest, body}},
			{type: messageTypes.outcome, id: 8, outcome: {...callOutcome, result}},
		];
		for (const message of messages) {
			const pieces = messageCodec.encodePieces(message);
			assert.ok(pieces.includes(body));
			assert.deepEqual(Buffer.concat(pieces), messageCodec.encode(message));
		}
	}
});

test('a header that looks like the place of a body takes the place of it', () => {
	const body = Buffer.alloc(100_000, 'x');
	const [sample] = fc.sample(request, {seed: 36, numRuns: 1});
	const headers = ['x-filler', 'body placeholder'];
	const message: Message = {
		type: messageTypes.call,
		id: 7,
		mode: 'run',
		request: {...sample!, headers, body},
	};
	assert.deepEqual(Buffer.concat(messageCodec.encodePieces(message)), messageCodec.encode(message));
});
