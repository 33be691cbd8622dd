import assert from 'node:assert/strict';
import {test} from 'node:test';
import {subsetEndpoints} from '../src/index.js';

const dataCentres = ['dc1', 'dc2', 'dc3', 'dc4', 'dc5'];

const createEndpoints = (count: number) =>
	Array.from({length: count}, (_, index) => ({
		node: `map-${index}`,
		service: 'map',
		dataCentre: dataCentres[index % dataCentres.length]!,
		weight: 24,
	}));

const subsetsOf = (endpoints: ReturnType<typeof createEndpoints>, nodes: number) =>
	Array.from({length: nodes}, (_, index) =>
		subsetEndpoints({
			endpoints,
			self: `node-${index}`,
			dataCentre: dataCentres[index % dataCentres.length]!,
		}),
	);

test('a service with few endpoints is used whole', () => {
	const endpoints = createEndpoints(4);
	assert.equal(subsetEndpoints({endpoints, self: 'a', dataCentre: 'dc1'}), endpoints);
});

test('each node uses a bounded number of many endpoints, and each endpoint is used by many nodes', () => {
	const endpoints = createEndpoints(93);
	const subsets = subsetsOf(endpoints, 195);
	assert.ok(subsets.every(({length}) => length <= 20));
	const users = endpoints.map(
		({node}) => subsets.filter(subset => subset.some(endpoint => endpoint.node === node)).length,
	);
	const mean = users.reduce((sum, count) => sum + count, 0) / users.length;
	assert.ok(Math.min(...users) >= mean / 2, String(Math.min(...users)));
	assert.ok(Math.max(...users) <= mean * 2, String(Math.max(...users)));
});

test('the loss of an endpoint changes only the subsets that have it, by one endpoint', () => {
	const endpoints = createEndpoints(93);
	const before = subsetsOf(endpoints, 195);
	const lost = endpoints[7]!;
	const after = subsetsOf(
		endpoints.filter(endpoint => endpoint !== lost),
		195,
	);
	for (const [index, subset] of before.entries()) {
		const added = after[index]!.filter(endpoint => !subset.includes(endpoint));
		assert.equal(added.length, subset.includes(lost) ? 1 : 0);
	}
});
