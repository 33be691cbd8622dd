import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {RoutedHost} from '../src/harness/routed-host.js';
import {Platform} from '../src/platform/platform.js';

const route = (name: string, prefix: string, kind: string, service: string) => ({
	name,
	routeKind: kind,
	targetLatencyMs: 500,
	priority: 0,
	match: {pathPrefix: prefix},
	action: {service, timeoutMs: 2000, attempts: 2},
});

const configuration = (version: number, rules: readonly unknown[]) => ({
	version,
	limits: {
		maxHeaderBytes: 4000,
		maxBodyBytes: 100,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
	listeners: [{host: 'shop.example', rules}],
	clusters: [{name: 'pay', healthPath: '/health', maxConns: 50}],
});

const rules = [
	route('look', '/look/', 'idempotent', 'pay'),
	route('pay', '/pay/', 'non_idempotent', 'pay'),
];

let platform: Platform;
let hosts: RoutedHost[];
let attemptCount = 0;

const nextId = () => `attempt-${++attemptCount}`;
const sendFirst = async (target: string, headers: Readonly<Record<string, string>>) =>
	hosts[0]!.send(target, headers);
const countHostsThatRan = (id: string) =>
	hosts.filter(({upstream}) => upstream.executedIds.includes(id)).length;
const onEachHost = async <Value>(action: (host: RoutedHost) => Promise<Value>) =>
	Promise.all(hosts.map(async host => action(host)));

/** Sends a request that must be served; a failure prints the log lines of the request. */
const assertServed = async (host: RoutedHost, target: string): Promise<void> => {
	const id = nextId();
	const {status} = await host.send(target, {'attempt-id': id});
	const findOutcomeLine = () =>
		host.daemon.lines.find(({event, request}) => event === 'MS6001' && request === id);
	if (status !== 200) {
		await host.until(() => findOutcomeLine() !== undefined);
		const refusalLines = hosts.flatMap(({daemon}) =>
			daemon.lines.filter(({event, request}) => event !== 'MS6001' && request === id),
		);
		assert.fail(
			`${target} was answered ${status}: ${JSON.stringify([findOutcomeLine(), ...refusalLines])}`,
		);
	}
};

/** Entry nodes spread refusals evenly, so a refused share of 1 in 40 shows in this many requests. */
const consecutiveRequests = 40;

/** Whether consecutive requests are all served, so that entry admission sheds none. */
const areAllServed = async (host: RoutedHost): Promise<boolean> => {
	for (let count = 0; count < consecutiveRequests; count++) {
		const {status} = await host.send('/look/row', {'attempt-id': nextId()});
		if (status !== 200) {
			return false;
		}
	}

	return true;
};

before(async () => {
	platform = await Platform.start();
	platform.write('config', 'main', configuration(3, rules));
	const hostSpecs = [
		{id: 'a', dataCentre: 'dc1'},
		{id: 'b', dataCentre: 'dc2'},
	];
	hosts = await Promise.all(
		hostSpecs.map(async spec =>
			RoutedHost.start({...spec, service: 'pay', storeUrl: platform.url}),
		),
	);
	await onEachHost(async host => host.until(async () => host.isReady()));
	await onEachHost(async host => host.report());
	await onEachHost(async host =>
		host.until(async () => (await host.send('/look/0', {'attempt-id': nextId()})).status === 200),
	);
});

after(async () => {
	await onEachHost(async host => host.stop());
	await platform.stop();
});

test('a request returns the complete answer of the upstream that executed it', async () => {
	const id = nextId();
	const answer = await hosts[0]!.send('/look/1?x=2', {'attempt-id': id, 'deadline-ms': '2000'});
	assert.equal(answer.status, 200);
	assert.equal(answer.headers['attempt-id'], id);
	assert.match(String(answer.headers['server-seal']), /seal$/v);
	assert.match(answer.body, /ran \/look\/1\?x=2$/v);
	assert.equal(countHostsThatRan(id), 1);
});

const rejected: ReadonlyArray<{
	readonly name: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly status: number;
}> = [
	{name: 'no route', target: '/nowhere/1', headers: {'attempt-id': 'x'}, status: 404},
	{name: 'no attempt ID', target: '/look/1', headers: {}, status: 400},
	{
		name: 'no time left',
		target: '/look/1',
		headers: {'attempt-id': 'x', 'deadline-ms': '0'},
		status: 503,
	},
	{
		name: 'less than no time left',
		target: '/look/1',
		headers: {'attempt-id': 'x', 'deadline-ms': '-37'},
		status: 503,
	},
	{
		name: 'headers that are too long',
		target: '/look/1',
		headers: {'attempt-id': 'x', 'x-long': 'y'.repeat(5000)},
		status: 431,
	},
];

for (const {name, target, headers, status} of rejected) {
	test(`a request with ${name} is answered with status ${status} and not executed`, async () => {
		const answer = await sendFirst(target, headers);
		assert.equal(answer.status, status);
		assert.equal(countHostsThatRan('x'), 0);
	});
}

test('an answer with the ID of another call is not forwarded, and the call is not retried', async () => {
	const id = nextId();
	for (const {upstream} of hosts) {
		upstream.handler = (req, res) => {
			upstream.executedIds.push(String(req.headers['attempt-id']));
			res.writeHead(200, {'attempt-id': 'other', 'server-seal': 's'}).end('not yours');
		};
	}

	const answer = await hosts[0]!.send('/pay/1', {'attempt-id': id}, 'PUT');
	for (const {upstream} of hosts) {
		upstream.handler = upstream.answer;
	}

	assert.equal(answer.status, 502);
	assert.equal(answer.body, '');
	assert.equal(countHostsThatRan(id), 1);
});

test('a call that one upstream reports as not executed is executed by another', async () => {
	const [first] = hosts;
	const id = nextId();
	first!.upstream.handler = (_req, res) => {
		res.writeHead(503, {'not-executed': '1'}).end();
	};

	const answer = await first!.send('/pay/2', {'attempt-id': id}, 'PUT');
	first!.upstream.handler = first!.upstream.answer;
	assert.equal(answer.status, 200);
	assert.equal(countHostsThatRan(id), 1);
});

test('the log shows by request ID where a request was tried and why it was retried', async () => {
	const [first] = hosts;
	// The retry budget is a share of the first attempts, so enough of them must come first.
	await Promise.all(
		Array.from({length: 40}, async () => sendFirst('/look/earn', {'attempt-id': nextId()})),
	);
	const id = nextId();
	const refusedIds: string[] = [];
	for (const {upstream} of hosts) {
		upstream.handler = (req, res) => {
			if (refusedIds.includes(id)) {
				upstream.answer(req, res);
			} else {
				refusedIds.push(id);
				res.writeHead(503, {'not-executed': '1'}).end();
			}
		};
	}

	await first!.send('/look/log', {'attempt-id': id});
	for (const {upstream} of hosts) {
		upstream.handler = upstream.answer;
	}

	const findLine = (code: string) =>
		first!.daemon.lines.find(({event, request}) => event === code && request === id);
	await first!.until(() => findLine('MS6001') !== undefined);
	const {endpoint, run, fault} = findLine('MS6004')!;
	assert.equal(run, 'not-run');
	assert.equal(fault, 'upstream-refused');
	assert.equal(findLine('MS6001')!.tried, endpoint === 'a' ? 'a b' : 'b a');
});

test('the log shows the load of a full upstream when it refused a call', async () => {
	const heldReplies: Array<() => void> = [];
	for (const {upstream} of hosts) {
		upstream.handler = (req, res) => {
			heldReplies.push(() => {
				upstream.answer(req, res);
			});
		};
	}

	const ids = Array.from({length: 80}, nextId);
	const headersOf = (id: string) => ({'attempt-id': id, 'deadline-ms': '500'});
	await Promise.all(ids.map(async id => sendFirst('/look/full', headersOf(id))));
	for (const {upstream} of hosts) {
		upstream.handler = upstream.answer;
	}

	for (const release of heldReplies) {
		release();
	}

	// Calls that are refused last may be logged after others have released their slots.
	const findRefusal = () =>
		hosts
			.flatMap(({daemon}) => [...daemon.lines])
			.find(
				({event, request, running, limit}) =>
					event === 'MS6003' && ids.includes(String(request)) && running === limit,
			);
	await hosts[0]!.until(() => findRefusal() !== undefined);
	const {service, limit, waiting} = findRefusal()!;
	assert.equal(service, 'pay');
	assert.equal(limit, 18);
	assert.equal(typeof waiting, 'number');
	// Entry nodes shed requests until the service has free capacity again.
	await onEachHost(async host => host.until(async () => areAllServed(host)));
});

test('a changed configuration is applied on every node', async () => {
	const changedRules = [...rules, route('new', '/new/', 'idempotent', 'pay')];
	platform.write('config', 'main', configuration(5, changedRules));
	await onEachHost(async host =>
		host.until(async () => (await host.send('/new/1', {'attempt-id': nextId()})).status === 200),
	);
});

// A route that the node could not read is there all the same: a caller does not retry after a 404.
test('a path of a host with a route that could not be read is refused as not run, not as unknown', async () => {
	const [host] = hosts;
	const unreadable = {...route('odd', '/odd/', 'idempotent', 'pay'), action: 'of another kind'};
	const statusOf = async (target: string, headers: Readonly<Record<string, string>> = {}) => {
		const {status} = await host!.send(target, {'attempt-id': nextId(), ...headers});
		return status;
	};

	platform.write('config', 'main', configuration(6, [...rules, unreadable]));
	await onEachHost(async each =>
		each.until(() =>
			each.daemon.lines.some(({event, version}) => event === 'MS4001' && version === 6),
		),
	);
	assert.equal(await statusOf('/odd/1'), 503);
	assert.equal(await statusOf('/odd/1', {host: 'other.example'}), 404);
	await assertServed(host!, '/look/odd');
});

test('a call in flight completes when a new configuration changes the connection limit of its upstream', async () => {
	const id = nextId();
	const heldReplies: Array<() => void> = [];
	for (const {upstream} of hosts) {
		upstream.handler = (req, res) => {
			heldReplies.push(() => {
				upstream.answer(req, res);
			});
		};
	}

	const answer = hosts[0]!.send('/look/held', {'attempt-id': id, 'deadline-ms': '2000'});
	await hosts[0]!.until(() => heldReplies.length > 0);
	for (const {upstream} of hosts) {
		upstream.handler = upstream.answer;
	}

	platform.write('config', 'main', {
		...configuration(7, [...rules, route('new', '/new/', 'idempotent', 'pay')]),
		clusters: [{name: 'pay', healthPath: '/health', maxConns: 70}],
	});
	await onEachHost(async host =>
		host.until(() =>
			host.daemon.lines.some(({event, version}) => event === 'MS4001' && version === 7),
		),
	);
	await onEachHost(async host => host.report());
	for (const release of heldReplies) {
		release();
	}

	assert.equal((await answer).status, 200);
	assert.equal(countHostsThatRan(id), 1);
});

test('a daemon keeps serving after it reloads its settings', async () => {
	const [host] = hosts;
	host!.daemon.signal('SIGHUP');
	await host!.until(() => host!.daemon.lines.some(({event}) => event === 'MS1007'));
	await assertServed(host!, '/look/9');
});

test('an upstream whose drain was confirmed receives no more calls', async () => {
	const [draining, staying] = hosts;
	assert.equal(await draining!.report('draining'), 200);
	const runsBefore = draining!.upstream.executedIds.length;
	for (let request = 0; request < 10; request++) {
		await assertServed(draining!, `/look/${request}`);
	}

	assert.equal(draining!.upstream.executedIds.length, runsBefore);
	assert.ok(staying!.upstream.executedIds.length > 0);
});

test('a planned stop completes the request in flight first', async () => {
	const host = hosts[1]!;
	let finish = () => {};
	const callReceived = new Promise<void>(resolve => {
		host.upstream.handler = (req, res) => {
			finish = () => {
				host.upstream.answer(req, res);
			};

			resolve();
		};
	});
	const answer = host.send('/look/10', {'attempt-id': nextId()});
	await callReceived;
	const exitCode = host.daemon.end('SIGTERM');
	await host.until(async () => !(await host.isReady()));
	finish();
	assert.equal((await answer).status, 200);
	assert.equal(await exitCode, 0);
});
