import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createRandom, pick, rendezvous} from '../src/index.js';

const seed = 7;

test('pick returns distinct items of the input', () => {
	fc.assert(
		fc.property(fc.uniqueArray(fc.integer()), fc.nat(20), fc.integer(), (items, count, start) => {
			const picked = pick(items, count, createRandom(start));
			assert.equal(picked.length, Math.min(count, items.length));
			assert.equal(new Set(picked).size, picked.length);
			assert.ok(picked.every(item => items.includes(item)));
		}),
		{seed},
	);
});

test('rendezvous keeps its first choice when another id is removed', () => {
	fc.assert(
		fc.property(fc.uniqueArray(fc.string(), {minLength: 2}), fc.string(), (ids, key) => {
			const [first, second] = rendezvous(key, ids, 2);
			const remaining = ids.filter(id => id !== second);
			assert.equal(rendezvous(key, remaining, 1)[0], first);
		}),
		{seed},
	);
});
