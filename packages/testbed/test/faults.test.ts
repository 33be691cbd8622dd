import assert from 'node:assert/strict';
import dgram from 'node:dgram';
import {once} from 'node:events';
import net from 'node:net';
import {afterEach, test} from 'node:test';
import {codec, frames} from '@medlarsaddle/wire';
import {request} from 'undici';
import {TestCluster} from '../src/harness/test-cluster.js';

type Host = TestCluster['hosts'][number];

let cluster: TestCluster;

afterEach(async () => {
	await cluster.stop();
});

const idempotentPolicy = `kind: service
service: map
jobs:
  - match: {exact: "LOOK"}
    rank: default
    idempotent: true
    retries: 2
`;

const hostSpec = (dataCentre: string, service: string, overrides = {}) => ({
	dataCentre,
	service,
	slots: 16,
	...overrides,
});

const call = async (
	host: Host,
	service: string,
	body: unknown,
	headers: Record<string, string> = {},
) => {
	const reply = await request(`http://127.0.0.1:${host.node.ports.http}/call/${service}/work`, {
		method: 'POST',
		headers,
		body: JSON.stringify(body),
	});
	return {
		status: reply.statusCode,
		body: (await reply.body.json()) as Record<string, unknown>,
	};
};

const issueKey = async ({node}: Host): Promise<string> => {
	const reply = await request(`http://127.0.0.1:${node.ports.http}/medlar/keys`, {method: 'POST'});
	return ((await reply.body.json()) as {keys: string[]}).keys[0]!;
};

const countRuns = (id: string): number =>
	cluster.hosts.reduce((sum, {upstream}) => sum + (upstream.runs.get(id) ?? 0), 0);

const start = async (...hostSpecs: Array<ReturnType<typeof hostSpec>>): Promise<Host[]> => {
	cluster = await TestCluster.start({hosts: hostSpecs});
	return cluster.hosts;
};

const putIdempotentPolicy = async (hosts: readonly Host[]): Promise<void> => {
	hosts[0]!.node.applySection({
		name: 'map',
		version: 1,
		changeId: 'c1',
		author: 'test',
		atMs: 0,
		text: idempotentPolicy,
	});
	await cluster.until(() => hosts.every(({node}) => node.versionOf('map') === 1));
};

test('a resend after the issuer was killed returns the stored answer and executes nothing', async () => {
	const [issuer, other] = await start(
		hostSpec('dc1', 'payment'),
		hostSpec('dc1', 'payment'),
		hostSpec('dc1', 'map'),
	);
	const key = {'idempotency-key': await issueKey(issuer!)};
	const first = await call(other!, 'payment', {id: 'pay'}, key);
	await issuer!.node.kill();
	const second = await call(other!, 'payment', {id: 'pay'}, key);
	assert.equal(first.status, 200);
	assert.deepEqual(second, first);
	assert.equal(countRuns('pay'), 1);
});

test('a key whose issuer was replaced before its first use is reported as unknown and never executed', async () => {
	const [issuer, other] = await start(hostSpec('dc1', 'payment'), hostSpec('dc1', 'payment'));
	const key = {'idempotency-key': await issueKey(issuer!)};
	await issuer!.node.kill();
	const replacement = await cluster.startNode(issuer!.id, 'dc1');
	const toReplacement = await call({...issuer!, node: replacement}, 'payment', {id: 'pay'}, key);
	const toOther = await call(other!, 'payment', {id: 'pay'}, key);
	await replacement.kill();
	assert.equal(toReplacement.body.run, 'unknown');
	assert.equal(toOther.body.run, 'unknown');
	assert.equal(countRuns('pay'), 0);
});

test('a planned stop hands keys over to another node, used keys with their answers', async () => {
	const [draining, other, third] = await start(
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'payment'),
		hostSpec('dc1', 'map'),
	);
	const used = {'idempotency-key': await issueKey(draining!)};
	const unused = {'idempotency-key': await issueKey(draining!)};
	const first = await call(other!, 'payment', {id: 'used'}, used);
	await draining!.node.stop();
	const again = await call(third!, 'payment', {id: 'used'}, used);
	const later = await call(other!, 'payment', {id: 'fresh'}, unused);
	const laterAgain = await call(third!, 'payment', {id: 'fresh'}, unused);
	assert.deepEqual(again, first);
	assert.equal(later.status, 200);
	assert.deepEqual(laterAgain, later);
	assert.equal(countRuns('used'), 1);
	assert.equal(countRuns('fresh'), 1);
});

test('a key of an unreachable data centre is unknown in another and never executed there', async () => {
	const [local, remote] = await start(hostSpec('dc1', 'payment'), hostSpec('dc2', 'payment'));
	await cluster.until(() => remote!.node.knownDataCentres.includes('dc1'));
	const key = {'idempotency-key': await issueKey(local!)};
	const remoteReply = await call(remote!, 'payment', {id: 'across'}, key);
	assert.equal(remoteReply.status, 200);
	assert.equal(local!.upstream.runs.get('across'), 1);
	const second = {'idempotency-key': await issueKey(local!)};
	await local!.node.kill();
	const unreachableReply = await call(remote!, 'payment', {id: 'cut-off'}, second);
	assert.equal(unreachableReply.body.run, 'unknown');
	assert.equal(countRuns('cut-off'), 0);
});

test('a keyed request whose upstream crashes is reported as unknown, also on a resend', async () => {
	const [first, second] = await start(
		hostSpec('dc1', 'payment', {serviceMs: 10_000}),
		hostSpec('dc1', 'map'),
	);
	const key = {'idempotency-key': await issueKey(second!)};
	const sent = call(second!, 'payment', {id: 'pay'}, key);
	await cluster.until(() => first!.upstream.runs.has('pay'));
	first!.upstream.crash();
	assert.equal((await sent).body.run, 'unknown');
	await first!.upstream.restart();
	const resent = await call(second!, 'payment', {id: 'pay'}, key);
	assert.equal(resent.body.run, 'unknown');
	assert.equal(countRuns('pay'), 1);
});

test('a truncated answer of an upstream becomes a refusal', async () => {
	const [first] = await start(hostSpec('dc1', 'payment'));
	await first!.upstream.setFaults({truncateShare: 1});
	const reply = await call(first!, 'payment', {id: 'short'});
	assert.equal(reply.status, 502);
	assert.equal(reply.body.run, 'unknown');
});

test('unresponsive connections are replaced before a keyed request is sent on them', async () => {
	const [first, second] = await start(hostSpec('dc1', 'payment'), hostSpec('dc1', 'map'));
	for (let count = 0; count < 5; count++) {
		await call(second!, 'payment', {id: `warm ${count}`});
	}

	await first!.upstream.setFaults({silencesConnections: true});
	await cluster.until(async () => first!.node.isUpstreamProbeDue);
	const reply = await call(
		second!,
		'payment',
		{id: 'pay'},
		{'idempotency-key': await issueKey(second!)},
	);
	assert.equal(reply.status, 200);
	assert.ok(cluster.lines.some(line => line.includes('MS2005')));
});

const slow = {slots: 64, connections: 200, serviceMs: 300};

test('a draining host receives no new calls and completes those in flight', async () => {
	const [draining, staying] = await start(
		hostSpec('dc1', 'map', slow),
		hostSpec('dc1', 'map', slow),
	);
	const inFlight = Array.from({length: 8}, async (_value, index) =>
		call(staying!, 'map', {id: `open ${index}`}),
	);
	await cluster.until(() => draining!.upstream.runs.size > 0);
	const stopped = draining!.node.stop();
	await cluster.until(() => staying!.node.knownEndpoints.every(({node}) => node !== draining!.id));
	const later = await Promise.all(
		Array.from({length: 8}, async (_value, index) => call(staying!, 'map', {id: `later ${index}`})),
	);
	assert.ok([...(await Promise.all(inFlight)), ...later].every(({status}) => status === 200));
	// Calls that were queued at the host before it started to drain may still start.
	assert.ok([...draining!.upstream.runs.keys()].every(id => !id.startsWith('later')));
	await stopped;
});

test('a request that crashes upstreams is quarantined after two crashes, other requests are not', async () => {
	const hosts = await start(
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'payment'),
	);
	const entry = hosts[2]!;
	let crashes = 0;
	for (const host of hosts.slice(0, 2)) {
		await host.upstream.setFaults({crashesOnPoison: true});
	}

	await cluster.until(async () => {
		const reply = await call(entry, 'map', {id: 'poison', poison: true}, {'medlar-job': 'LOOK'});
		for (const host of hosts.slice(0, 2)) {
			if (!host.upstream.isListening) {
				crashes++;
				await host.upstream.restart();
			}
		}

		return reply.body.kind === 'quarantined';
	});
	assert.equal(crashes, 2);
	const innocent = await call(entry, 'map', {id: 'innocent'}, {'medlar-job': 'LOOK'});
	assert.equal(innocent.status, 200);
});

test('an idempotent call is retried at another endpoint within its retry allowance', async () => {
	const hosts = await start(
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'payment'),
	);
	await putIdempotentPolicy(hosts);
	hosts[0]!.upstream.crash();
	const replies = await Promise.all(
		Array.from({length: 10}, async (_value, index) =>
			call(hosts[2]!, 'map', {id: `again ${index}`}, {'medlar-job': 'LOOK'}),
		),
	);
	assert.ok(replies.every(({status}) => status === 200));
});

test('a refusal never states "not-run" when an earlier attempt may have been executed', async () => {
	const hosts = await start(
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'map'),
		hostSpec('dc1', 'payment'),
	);
	await putIdempotentPolicy(hosts);
	await hosts[0]!.upstream.setFaults({truncateShare: 1});
	hosts[1]!.upstream.crash();
	for (let index = 0; index < 20; index++) {
		const id = `tried ${index}`;
		const {body} = await call(hosts[2]!, 'map', {id}, {'medlar-job': 'LOOK'});
		assert.ok(body.run === 'unknown' || countRuns(id) === 0, id);
	}
});

const malformedMessages = [
	['a frame whose length is out of bounds', Buffer.from('ffffffff00', 'hex')],
	['a frame that is not MessagePack', Buffer.from('00000003c1c1c1', 'hex')],
	['a frame that is not a message', Buffer.from('0000000101', 'hex')],
	['HTTP on the peer port', Buffer.from('GET / HTTP/1.1\r\nhost: x\r\n\r\n')],
	[
		'a message whose call is malformed',
		Buffer.from('0000000f82a474797065a463616c6ca269640f', 'hex'),
	],
] as const;

test('malformed messages neither crash a node nor affect later calls', async () => {
	const [first] = await start(hostSpec('dc1', 'payment'));
	for (const [, bytes] of malformedMessages) {
		const socket = net.connect(first!.node.ports.peer, '127.0.0.1');
		await once(socket, 'connect');
		socket.on('error', () => {});
		socket.resume();
		socket.end(bytes);
		await once(socket, 'close');
		const datagrams = dgram.createSocket('udp4');
		await new Promise(resolve => {
			datagrams.send(bytes, first!.node.ports.peer, '127.0.0.1', resolve);
		});
		datagrams.close();
	}

	assert.equal((await call(first!, 'payment', {id: 'after'})).status, 200);
});

const rawRequests = [
	[
		'a truncated body',
		'POST /call/payment/x HTTP/1.1\r\nhost: x\r\ncontent-length: 50\r\n\r\n{"id"',
		'',
	],
	[
		'a header given twice',
		'POST /call/payment/x HTTP/1.1\r\nhost: x\r\nmedlar-job: a\r\nmedlar-job: b\r\ncontent-length: 0\r\n\r\n',
		'400',
	],
	[
		'a line break inside a header',
		'POST /call/payment/x HTTP/1.1\r\nhost: x\r\nmedlar-job: a\rb\r\ncontent-length: 0\r\n\r\n',
		'400',
	],
	['a request that is not HTTP', 'HELO there\r\n\r\n', '400'],
	[
		'a body that is too large',
		`POST /call/payment/x HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n`,
		'413',
	],
] as const;

test('malformed requests are rejected and not executed', async () => {
	const [first] = await start(hostSpec('dc1', 'payment'));
	for (const [description, text, status] of rawRequests) {
		const socket = net.connect(first!.node.ports.http, '127.0.0.1');
		await once(socket, 'connect');
		let reply = '';
		socket.on('data', chunk => {
			reply += chunk.toString();
		});
		socket.on('error', () => {});
		socket.write(text);
		if (status !== '') {
			await cluster.until(() => reply.includes('\r\n'));
		}

		socket.destroy();

		assert.match(reply.split('\r\n')[0]!, new RegExp(status, 'v'), description);
	}

	assert.equal(first!.upstream.runs.size, 0);
	assert.equal((await call(first!, 'payment', {id: 'after'})).status, 200);
});
