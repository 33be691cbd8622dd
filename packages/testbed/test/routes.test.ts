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
let count = 0;

const idOf = () => `attempt-${++count}`;
const sendFirst = async (target: string, headers: Readonly<Record<string, string>>) =>
	hosts[0]!.send(target, headers);
const ranOn = (id: string) => hosts.filter(({upstream}) => upstream.ran.includes(id)).length;
const each = async <Value>(act: (host: RoutedHost) => Promise<Value>) =>
	Promise.all(hosts.map(async host => act(host)));

/** Sends a request that must be served; a failure tells how the node ended it. */
const assertServed = async (host: RoutedHost, target: string): Promise<void> => {
	const id = idOf();
	const {status} = await host.send(target, {'attempt-id': id});
	const ended = () =>
		host.daemon.lines.find(({event, request}) => event === 'MS6001' && request === id);
	if (status !== 200) {
		await host.until(() => ended() !== undefined);
		const refused = hosts.flatMap(({daemon}) =>
			daemon.lines.filter(({event, request}) => event !== 'MS6001' && request === id),
		);
		assert.fail(`${target} was answered ${status}: ${JSON.stringify([ended(), ...refused])}`);
	}
};

/** Entries refuse an even part of the requests, so this many tell a part of one in forty. */
const inRow = 40;

/** Whether several requests in a row are served, so that no entry holds work back. */
const isEachServed = async (host: RoutedHost): Promise<boolean> => {
	for (let count = 0; count < inRow; count++) {
		const {status} = await host.send('/look/row', {'attempt-id': idOf()});
		if (status !== 200) {
			return false;
		}
	}

	return true;
};

before(async () => {
	platform = await Platform.start();
	platform.write('config', 'main', configuration(3, rules));
	const places = [
		{id: 'a', dataCentre: 'dc1'},
		{id: 'b', dataCentre: 'dc2'},
	];
	hosts = await Promise.all(
		places.map(async place => RoutedHost.start({...place, service: 'pay', storeUrl: platform.url})),
	);
	await each(async host => host.until(async () => host.isReady()));
	await each(async host => host.report());
	await each(async host =>
		host.until(async () => (await host.send('/look/0', {'attempt-id': idOf()})).status === 200),
	);
});

after(async () => {
	await each(async host => host.stop());
	await platform.stop();
});

test('a request comes back with the whole answer of the upstream that ran it', async () => {
	const id = idOf();
	const answer = await hosts[0]!.send('/look/1?x=2', {'attempt-id': id, 'deadline-ms': '2000'});
	assert.equal(answer.status, 200);
	assert.equal(answer.headers['attempt-id'], id);
	assert.match(String(answer.headers['server-seal']), /seal$/v);
	assert.match(answer.body, /ran \/look\/1\?x=2$/v);
	assert.equal(ranOn(id), 1);
});

const rejected: ReadonlyArray<{
	readonly name: string;
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly status: number;
}> = [
	{name: 'no route', target: '/nowhere/1', headers: {'attempt-id': 'x'}, status: 404},
	{name: 'no ID', target: '/look/1', headers: {}, status: 400},
	{
		name: 'no time left',
		target: '/look/1',
		headers: {'attempt-id': 'x', 'deadline-ms': '0'},
		status: 503,
	},
	{
		name: 'too long headers',
		target: '/look/1',
		headers: {'attempt-id': 'x', 'x-long': 'y'.repeat(5000)},
		status: 431,
	},
];

for (const {name, target, headers, status} of rejected) {
	test(`a request with ${name} is answered ${status} and does not run`, async () => {
		const answer = await sendFirst(target, headers);
		assert.equal(answer.status, status);
		assert.equal(ranOn('x'), 0);
	});
}

test('an answer of another call is passed on to nobody, and the action is not repeated', async () => {
	const id = idOf();
	for (const {upstream} of hosts) {
		upstream.manner = (req, res) => {
			upstream.ran.push(String(req.headers['attempt-id']));
			res.writeHead(200, {'attempt-id': 'other', 'server-seal': 's'}).end('not yours');
		};
	}

	const answer = await hosts[0]!.send('/pay/1', {'attempt-id': id}, 'PUT');
	for (const {upstream} of hosts) {
		upstream.manner = upstream.answer;
	}

	assert.equal(answer.status, 502);
	assert.equal(answer.body, '');
	assert.equal(ranOn(id), 1);
});

test('what one upstream says that it has not run is run by another', async () => {
	const [first] = hosts;
	const id = idOf();
	first!.upstream.manner = (_req, res) => {
		res.writeHead(503, {'not-executed': '1'}).end();
	};

	const answer = await first!.send('/pay/2', {'attempt-id': id}, 'PUT');
	first!.upstream.manner = first!.upstream.answer;
	assert.equal(answer.status, 200);
	assert.equal(ranOn(id), 1);
});

test('the log tells by its ID where a request was tried, and why it was tried again', async () => {
	const [first] = hosts;
	// Retries are a share of the first tries, so there must have been enough of these.
	await Promise.all(
		Array.from({length: 40}, async () => sendFirst('/look/earn', {'attempt-id': idOf()})),
	);
	const id = idOf();
	const refused: string[] = [];
	for (const {upstream} of hosts) {
		upstream.manner = (req, res) => {
			if (refused.includes(id)) {
				upstream.answer(req, res);
			} else {
				refused.push(id);
				res.writeHead(503, {'not-executed': '1'}).end();
			}
		};
	}

	await first!.send('/look/log', {'attempt-id': id});
	for (const {upstream} of hosts) {
		upstream.manner = upstream.answer;
	}

	const lineOf = (code: string) =>
		first!.daemon.lines.find(({event, request}) => event === code && request === id);
	await first!.until(() => lineOf('MS6001') !== undefined);
	const {endpoint, run, fault} = lineOf('MS6004')!;
	assert.equal(run, 'not-run');
	assert.equal(fault, 'upstream-refused');
	assert.equal(lineOf('MS6001')!.tried, endpoint === 'a' ? 'a b' : 'b a');
});

test('the log of an upstream that is full tells how it stood when it refused a call', async () => {
	const held: Array<() => void> = [];
	for (const {upstream} of hosts) {
		upstream.manner = (req, res) => {
			held.push(() => {
				upstream.answer(req, res);
			});
		};
	}

	const ids = Array.from({length: 80}, idOf);
	const headersOf = (id: string) => ({'attempt-id': id, 'deadline-ms': '500'});
	await Promise.all(ids.map(async id => sendFirst('/look/full', headersOf(id))));
	for (const {upstream} of hosts) {
		upstream.manner = upstream.answer;
	}

	for (const release of held) {
		release();
	}

	// Those that are refused last may find places that others have just left.
	const refused = () =>
		hosts
			.flatMap(({daemon}) => [...daemon.lines])
			.find(
				({event, request, running, limit}) =>
					event === 'MS6003' && ids.includes(String(request)) && running === limit,
			);
	await hosts[0]!.until(() => refused() !== undefined);
	const {service, limit, waiting} = refused()!;
	assert.equal(service, 'pay');
	assert.equal(limit, 18);
	assert.equal(typeof waiting, 'number');
	// Entries hold work back until the service has room again.
	await each(async host => host.until(async () => isEachServed(host)));
});

test('a changed configuration comes into force at every node', async () => {
	const moved = [...rules, route('new', '/new/', 'idempotent', 'pay')];
	platform.write('config', 'main', configuration(5, moved));
	await each(async host =>
		host.until(async () => (await host.send('/new/1', {'attempt-id': idOf()})).status === 200),
	);
});

test('a call in flight goes on when a configuration allows its upstream other connections', async () => {
	const id = idOf();
	const held: Array<() => void> = [];
	for (const {upstream} of hosts) {
		upstream.manner = (req, res) => {
			held.push(() => {
				upstream.answer(req, res);
			});
		};
	}

	const answer = hosts[0]!.send('/look/held', {'attempt-id': id, 'deadline-ms': '2000'});
	await hosts[0]!.until(() => held.length > 0);
	for (const {upstream} of hosts) {
		upstream.manner = upstream.answer;
	}

	platform.write('config', 'main', {
		...configuration(7, [...rules, route('new', '/new/', 'idempotent', 'pay')]),
		clusters: [{name: 'pay', healthPath: '/health', maxConns: 70}],
	});
	await each(async host =>
		host.until(() =>
			host.daemon.lines.some(({event, version}) => event === 'MS4001' && version === 7),
		),
	);
	await each(async host => host.report());
	for (const release of held) {
		release();
	}

	assert.equal((await answer).status, 200);
	assert.equal(ranOn(id), 1);
});

test('a daemon goes on when its settings have changed', async () => {
	const [host] = hosts;
	host!.daemon.signal('SIGHUP');
	await host!.until(() => host!.daemon.lines.some(({event}) => event === 'MS1007'));
	await assertServed(host!, '/look/9');
});

test('an upstream whose departure was confirmed gets no more work', async () => {
	const [leaving, staying] = hosts;
	assert.equal(await leaving!.report('draining'), 200);
	const before = leaving!.upstream.ran.length;
	for (let request = 0; request < 10; request++) {
		await assertServed(leaving!, `/look/${request}`);
	}

	assert.equal(leaving!.upstream.ran.length, before);
	assert.ok(staying!.upstream.ran.length > 0);
});

test('a planned stop ends the request in flight first', async () => {
	const host = hosts[1]!;
	let finish = () => {};
	const held = new Promise<void>(resolve => {
		host.upstream.manner = (req, res) => {
			finish = () => {
				host.upstream.answer(req, res);
			};

			resolve();
		};
	});
	const answer = host.send('/look/10', {'attempt-id': idOf()});
	await held;
	const ended = host.daemon.end('SIGTERM');
	await host.until(async () => !(await host.isReady()));
	finish();
	assert.equal((await answer).status, 200);
	assert.equal(await ended, 0);
});
