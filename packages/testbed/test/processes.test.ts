import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {after, before, test} from 'node:test';
import {request} from 'undici';
import {Fleet} from '../src/deploy/fleet.js';
import {hungary} from '../src/deploy/hungary.js';

const deployment = {
	...hungary,
	dataCentres: ['bud1'],
	services: [
		{name: 'pitch-map', endpoints: 2, slots: 60, connections: 470, serviceMs: 1},
		{name: 'payment', endpoints: 1, slots: 80, connections: 600, serviceMs: 1},
	],
	policy: {base: hungary.policy.base!, 'pitch-map': hungary.policy['pitch-map']!},
};

let fleet: Fleet;

before(async () => {
	fleet = await Fleet.start({deployment, scale: 1, seed: 1});
});

after(async () => {
	await fleet.stop();
});

const lookUp = async (index: number): Promise<number> => {
	const reply = await request(
		`http://127.0.0.1:${fleet.hosts[index]!.ports.http}/call/pitch-map/work`,
		{
			method: 'POST',
			headers: {'medlar-job': encodeURIComponent('KERMIN.VASAR/térkép')},
			body: JSON.stringify({id: `look up ${index}`}),
		},
	);
	await reply.body.dump();
	return reply.statusCode;
};

const checkClient = async (args: readonly string[], code: number, text: RegExp): Promise<void> => {
	const reply = await fleet.runClient(fleet.hosts[0]!, args);
	assert.equal(reply.code, code, reply.text);
	assert.match(reply.text, text);
};

const clientCases = [
	['status', ['status'], 0, /node .* in bud1/v],
	['upstreams as JSON', ['upstreams', '--json'], 0, /"service": "payment"/v],
	['an error for a missing section', ['policy', 'get', 'nowhere'], 3, /no section nowhere/v],
	['an error for a missing file', ['policy', 'put', '/nowhere.yaml'], 3, /cannot be read/v],
	['history', ['policy', 'history'], 0, /pitch-map/v],
	['an error for an unknown member', ['drain', 'nobody'], 3, /no member nobody/v],
	['a report', ['report'], 0, /all data centres, at/v],
	['a report as JSON', ['report', '--json'], 0, /"dataCentres"/v],
	[
		'an error for a page that cannot be written',
		['report', '--html', '/nowhere/a.html'],
		3,
		/cannot be written/v,
	],
	['an error for an unknown command', ['colour'], 1, /not find|Unknown/v],
	['the version as JSON', ['version', '--json'], 0, /"client": "0\.1\.0"/v],
] as const;

for (const [description, args, code, text] of clientCases) {
	test(`the client prints ${description} and exits with ${code}`, async () => {
		await checkClient(args, code, text);
	});
}

test('killing one process does not end the others', async () => {
	const [, second] = fleet.hosts;
	await fleet.platform.end();
	assert.equal(await lookUp(0), 200);
	await second!.upstream.end();
	await second!.node.end();
	const statuses = await Promise.all(Array.from({length: 10}, async () => lookUp(0)));
	assert.deepEqual(statuses, Array.from({length: 10}).fill(200));
	assert.ok(
		fleet.hosts.every(host => host === second || (host.node.isRunning && host.upstream.isRunning)),
	);
});

test('a node keeps running after the reader of its log has closed the pipe', async () => {
	const [first] = fleet.hosts;
	first!.node.closeOutput();
	// The node logs each state change of its upstream to the closed pipe.
	await fleet.setUpstreamFaults(first!, {isDraining: true});
	await fleet.setUpstreamFaults(first!, {isDraining: false});
	assert.equal(await lookUp(0), 200);
	assert.ok(first!.node.isRunning);
});

test('SIGTERM shuts a node down gracefully with exit code 0', async () => {
	const last = fleet.hosts[2]!;
	assert.equal(await last.node.end('SIGTERM'), 0);
	assert.ok(last.node.lines.some(({event}) => event === 'MS1003'));
});

test('invalid settings end a node with exit code 2 and one line that names all of them', async () => {
	const child = spawn(process.execPath, [Fleet.daemon, '--http-port', 'x'], {stdio: 'pipe'});
	let text = '';
	child.stdout.on('data', chunk => {
		text += String(chunk);
	});
	const [code] = (await once(child, 'close')) as [number];
	assert.equal(code, 2);
	assert.equal(text.trim().split('\n').length, 1);
	assert.match(text, /--node-id.*--data-centre.*--http-port/v);
});
