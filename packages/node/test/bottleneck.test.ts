import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Bottleneck} from '../src/upstream/bottleneck.js';

const cases = [
	['no calls yet', [], 'reservation'],
	['own work', [{service: 'reservation', ms: 90}], 'reservation'],
	['a slow service below', [{service: 'pitch-map', ms: 90}], 'reservation, waiting for pitch-map'],
	['a service below that takes less than half', [{service: 'pitch-map', ms: 40}], 'reservation'],
	[
		'a service below that was slow before',
		[
			{service: 'pitch-map', ms: 90},
			{service: 'reservation', ms: 90},
			{service: 'reservation', ms: 90},
		],
		'reservation',
	],
] as const;

const callMs = 100;
const rounds = 30;

for (const [name, slowest, place] of cases) {
	test(`what an upstream is said to wait for: ${name}`, () => {
		const bottleneck = Bottleneck.create();
		for (const each of slowest) {
			for (let round = 0; round < rounds; round++) {
				bottleneck.note(each, callMs);
			}
		}

		assert.equal(bottleneck.place('reservation'), place);
	});
}
