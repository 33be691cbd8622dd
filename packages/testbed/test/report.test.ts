import assert from 'node:assert/strict';
import {afterEach, test} from 'node:test';
import type {GetReportReply} from '@medlarsaddle/api';
import {NodeClient} from '@medlarsaddle/client';
import {request} from 'undici';
import {TestCluster} from '../src/harness/test-cluster.js';

type Host = TestCluster['hosts'][number];

const rollUpMs = 200;

let cluster: TestCluster;

afterEach(async () => {
	await cluster.stop();
});

const start = async (...dataCentres: string[]): Promise<Host[]> => {
	const hostSpecs = dataCentres.map(dataCentre => ({dataCentre, service: 'map', slots: 16}));
	cluster = await TestCluster.start({hosts: hostSpecs, rollUpMs});
	return cluster.hosts;
};

const send = async (host: Host, count: number): Promise<void> => {
	const replies = Array.from({length: count}, async (_request, index) => {
		const reply = await request(`http://127.0.0.1:${host.node.ports.http}/call/map/work`, {
			method: 'POST',
			body: JSON.stringify({id: `${host.id} ${index}`}),
		});
		await reply.body.dump();
	});
	await Promise.all(replies);
};

const fetchReport = async (host: Host): Promise<GetReportReply> => {
	const client = NodeClient.connect(`127.0.0.1:${host.node.ports.operator}`);
	const reply = await client.call('getReport', {});
	client.close();
	return reply._unsafeUnwrap();
};

const totalOf = ({ranks}: GetReportReply): number =>
	ranks.reduce((sum, row) => sum + row.good + row.late + row.refused + row.failed + row.unknown, 0);

test('every node reports each request of all data centres exactly once', async () => {
	const hosts = await start('dc1', 'dc1', 'dc2');
	await Promise.all(hosts.map(async (host, index) => send(host, 10 + index)));
	await cluster.until(async () => totalOf(await fetchReport(hosts[0]!)) >= 33);
	const reports = await Promise.all(hosts.map(async host => fetchReport(host)));
	assert.deepEqual(
		reports.map(report => totalOf(report)),
		[33, 33, 33],
	);
	assert.ok(reports.every(({isPartial}) => !isPartial));
});

test('a planned stop loses neither the own counts of the node nor those it collects', async () => {
	const hosts = await start('dc1', 'dc1', 'dc1');
	await Promise.all(hosts.map(async host => send(host, 20)));
	for (const host of hosts.slice(1)) {
		await host.upstream.stop();
		await host.node.stop();
	}

	await cluster.until(async () => totalOf(await fetchReport(hosts[0]!)) >= 60);
	assert.equal(totalOf(await fetchReport(hosts[0]!)), 60);
});

test('a data centre that stops reporting is listed as missing', async () => {
	const hosts = await start('dc1', 'dc2');
	await cluster.until(async () => {
		const {dataCentres} = await fetchReport(hosts[0]!);
		return dataCentres.length === 2 && dataCentres.every(({missing}) => !missing);
	});
	await hosts[1]!.node.kill();
	await cluster.until(async () => {
		const {dataCentres} = await fetchReport(hosts[0]!);
		return dataCentres.some(({name, missing, ageMs}) => name === 'dc2' && missing && ageMs > 0);
	});
	const {dataCentres} = await fetchReport(hosts[0]!);
	assert.equal(dataCentres.find(({name}) => name === 'dc1')!.missing, false);
});

test('a node without access to the store reports its own counts and marks the report as partial', async () => {
	const hosts = await start('dc1', 'dc1');
	cluster.platform!.setFaults({isDown: true});
	await send(hosts[0]!, 12);
	const report = await fetchReport(hosts[0]!);
	assert.ok(report.isPartial);
	assert.equal(totalOf(report), 12);
	cluster.platform!.setFaults({});
	await cluster.until(async () => totalOf(await fetchReport(hosts[1]!)) >= 12);
	assert.equal(totalOf(await fetchReport(hosts[1]!)), 12);
});

test('the node that refused a request explains the refusal by the root ID of the request', async () => {
	const hosts = await start('dc1', 'dc1');
	const sendRefused = async (service: string): Promise<string> => {
		const reply = await request(
			`http://127.0.0.1:${hosts[0]!.node.ports.http}/call/${service}/work`,
		);
		await reply.body.dump();
		return String(reply.headers['medlar-root-id']);
	};

	const explain = async (host: Host, subject: string) => {
		const client = NodeClient.connect(`127.0.0.1:${host.node.ports.operator}`);
		const reply = await client.call('explain', {subject});
		client.close();
		return reply._unsafeUnwrap().explanations;
	};

	const first = await sendRefused('nowhere');
	const second = await sendRefused('elsewhere');
	const [explanation, ...others] = await explain(hosts[0]!, first);
	assert.equal(others.length, 0);
	assert.equal(explanation!.service, 'nowhere');
	assert.equal(explanation!.run, 'not-run');
	assert.ok(explanation!.remedy.length > 0);
	const explanations = await explain(hosts[0]!, '');
	assert.deepEqual(
		explanations.map(({rootId}) => rootId),
		[second, first],
	);
	assert.deepEqual(await explain(hosts[1]!, first), []);
});
