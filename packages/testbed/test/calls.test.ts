import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {TestCluster} from '../src/harness/test-cluster.js';

let cluster: TestCluster;

before(async () => {
	cluster = await TestCluster.start({
		hosts: [
			{dataCentre: 'dc1', service: 'map', slots: 64},
			{dataCentre: 'dc1', service: 'map', slots: 64},
			{dataCentre: 'dc1', service: 'payment', slots: 64},
		],
	});
});

after(async () => {
	await cluster.stop();
});

const send = async (
	host: number,
	service: string,
	body: unknown,
	headers: Record<string, string> = {},
) => {
	const reply = await request(
		`http://127.0.0.1:${cluster.hosts[host]!.node.ports.http}/call/${service}/work?x=1`,
		{method: 'POST', headers, body: JSON.stringify(body)},
	);
	const text = await reply.body.text();
	return {
		status: reply.statusCode,
		headers: reply.headers,
		body: text === '' ? undefined : (JSON.parse(text) as Record<string, unknown>),
	};
};

const issueKey = async (host: number): Promise<string> => {
	const reply = await request(
		`http://127.0.0.1:${cluster.hosts[host]!.node.ports.http}/medlar/keys`,
		{method: 'POST'},
	);
	const {keys} = (await reply.body.json()) as {keys: string[]};
	return keys[0]!;
};

const countRuns = (id: string): number =>
	cluster.hosts.reduce((sum, {upstream}) => sum + (upstream.runs.get(id) ?? 0), 0);

test('a request sent to any node returns the complete answer of its own call chain', async () => {
	const chain = Array.from({length: 13}, (_step, index) => ({
		service: index % 2 === 0 ? 'payment' : 'map',
		job: 'OLD/step é',
	}));
	for (const host of [0, 1, 2]) {
		const {status, body} = await send(host, 'map', {id: `chain-${host}`, chain});
		assert.equal(status, 200);
		let depth = 0;
		for (let level = body; level; level = level.below as typeof level) {
			assert.equal(level.id, `chain-${host}`);
			depth++;
		}

		assert.equal(depth, 14);
	}
});

test('a request with an idempotency key is executed once, however often and to whichever node it is sent', async () => {
	const key = await issueKey(1);
	const replies = await Promise.all(
		[0, 1, 2, 0, 1, 2].map(async host =>
			send(host, 'payment', {id: 'keyed'}, {'idempotency-key': key}),
		),
	);
	assert.deepEqual(
		replies.map(({status}) => status),
		Array.from({length: 6}).fill(200),
	);
	assert.ok(replies.every(({body}) => body?.id === 'keyed'));
	assert.equal(countRuns('keyed'), 1);
});

const rejected = [
	['an unknown service', 'nowhere', {}, 404, 'unknown-service'],
	['a malformed deadline', 'map', {'medlar-deadline-ms': '-1'}, 400, 'bad-input'],
	['a deadline of zero', 'map', {'medlar-deadline-ms': '0'}, 504, 'deadline-exceeded'],
	['a malformed job name', 'map', {'medlar-job': '%E0%A4%A'}, 400, 'bad-input'],
	['a key that was made up', 'payment', {'idempotency-key': 'abc'}, 400, 'key-invalid'],
	['no service at all', '', {}, 400, 'bad-input'],
] as const;

for (const [description, service, headers, status, kind] of rejected) {
	test(`${description} is refused with ${kind} and reported as not executed`, async () => {
		const reply = await send(0, service, {id: `rejected ${description}`}, headers);
		assert.equal(reply.status, status);
		assert.equal(reply.body?.kind, kind);
		assert.equal(reply.body?.run, 'not-run');
		assert.ok(String(reply.body?.remedy).length > 0);
		assert.equal(countRuns(`rejected ${description}`), 0);
	});
}
