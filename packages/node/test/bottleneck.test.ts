import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Bottleneck} from '../src/upstream/bottleneck.js';

const ownWork = {service: 'reservation', ms: 100};

const cases = [
	['no calls recorded', [], 'reservation'],
	['only its own work', [[ownWork]], 'reservation'],
	[
		'a slow downstream service',
		[[ownWork, {service: 'pitch-map', ms: 900}]],
		'reservation, waiting for pitch-map',
	],
	[
		'a downstream service that takes less than half of the time',
		[[ownWork, {service: 'pitch-map', ms: 80}]],
		'reservation',
	],
	[
		'a downstream service that is no longer slow',
		[[ownWork, {service: 'pitch-map', ms: 900}], [ownWork], [ownWork]],
		'reservation',
	],
] as const;

const rounds = 30;

for (const [name, calls, expected] of cases) {
	test(`the reported bottleneck of an upstream: ${name}`, () => {
		const bottleneck = Bottleneck.create();
		for (const serviceTimes of calls) {
			for (let round = 0; round < rounds; round++) {
				bottleneck.record(serviceTimes);
			}
		}

		assert.equal(bottleneck.describe('reservation'), expected);
	});
}
