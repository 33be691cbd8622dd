import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Bottleneck} from '../src/upstream/bottleneck.js';

const ownWork = {service: 'reservation', ms: 100};

const cases = [
	['no calls yet', [], 'reservation'],
	['own work', [[ownWork]], 'reservation'],
	[
		'a slow service below',
		[[ownWork, {service: 'pitch-map', ms: 900}]],
		'reservation, waiting for pitch-map',
	],
	[
		'a service below that takes less than half',
		[[ownWork, {service: 'pitch-map', ms: 80}]],
		'reservation',
	],
	[
		'a service below that was slow before',
		[[ownWork, {service: 'pitch-map', ms: 900}], [ownWork], [ownWork]],
		'reservation',
	],
] as const;

const rounds = 30;

for (const [name, calls, place] of cases) {
	test(`what an upstream is said to wait for: ${name}`, () => {
		const bottleneck = Bottleneck.create();
		for (const parts of calls) {
			for (let round = 0; round < rounds; round++) {
				bottleneck.note(parts);
			}
		}

		assert.equal(bottleneck.place('reservation'), place);
	});
}
