import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {configurationOf} from '../src/harness/configuration-of.js';
import {RoutedHost} from '../src/harness/routed-host.js';
import {Platform} from '../src/platform/platform.js';
import {RoutedUpstream} from '../src/upstream/routed-upstream.js';

const serviceNames = ['rounds', 'permits'] as const;

const configuration = configurationOf({
	services: serviceNames,
	maxHeaderBytes: 4000,
	maxBodyBytes: 100,
	timeoutMs: 5000,
	attempts: 2,
});

/** Holds the next call of a host's upstream. */
const holdNextCall = (host: RoutedHost) => {
	let finish = () => {};
	const isHeld = new Promise<void>(resolve => {
		host.upstream.handler = (req, res) => {
			finish = () => {
				host.upstream.answer(req, res);
			};

			resolve();
		};
	});
	return {
		isHeld,
		finish() {
			finish();
		},
	};
};

let platform: Platform;
let rounds: RoutedHost;
let permits: RoutedHost;

before(async () => {
	platform = await Platform.start();
	platform.write('config', 'main', configuration);
	const start = async (service: string) =>
		RoutedHost.start({id: service, dataCentre: 'dc1', service, storeUrl: platform.url});
	[rounds, permits] = await Promise.all([start('rounds'), start('permits')]);
	for (const host of [rounds, permits]) {
		await host.until(async () => host.isReady());
		await host.report();
	}

	const isServed = async (target: string) =>
		(await rounds.send(target, {'attempt-id': `start${target}`})).status === 200;
	await rounds.until(async () => isServed('/rounds/1'));
	await rounds.until(async () => isServed('/permits/1'));
});

after(async () => {
	await Promise.all([rounds.stop(), permits.stop()]);
	await platform.stop();
});

const hasStalled = ({daemon}: RoutedHost) => daemon.lines.some(({event}) => event === 'MS6006');

// An upstream that waits for a slow call below answers nothing, but its health check. A node took that
// for a silent connection and answered 504 with most of the time left.
test('a call is ended as silent while its upstream waits for an inner call', async () => {
	const {isHeld, finish} = holdNextCall(permits);
	let innerStatus: number | undefined;
	rounds.upstream.handler = async (req, res) => {
		const inner = await rounds.send('/permits/2', {'attempt-id': 'inner', 'deadline-ms': '4000'});
		innerStatus = inner.status;
		rounds.upstream.answer(req, res);
	};

	const answer = rounds.send('/rounds/2', {'attempt-id': 'outer', 'deadline-ms': '5000'});
	await isHeld;
	const exitCode = rounds.daemon.end('SIGTERM');
	const areStalled = rounds.until(() => hasStalled(rounds) && hasStalled(permits));
	await Promise.race([areStalled, answer]);
	finish();
	assert.equal((await answer).status, 200);
	assert.equal(innerStatus, 200);
	assert.equal(await exitCode, 0);
});

// Another instance at the address of an upstream, or reports that stop while the store is away, do not
// show that the calls at the upstream have ended. Its connections were closed with them.
test('a call is cut off because another instance takes the place of its upstream', async () => {
	const {isHeld, finish} = holdNextCall(permits);
	const answer = permits.send('/permits/3', {'attempt-id': 'held', 'deadline-ms': '4000'});
	await isHeld;
	const successor = await RoutedUpstream.start('permits', 'i-successor', 2000);
	assert.equal(await successor.report(permits.livenessPort), 200);
	const isReplaced = permits.until(
		() => permits.daemon.lines.filter(({event}) => event === 'MS2001').length > 1,
	);
	await Promise.race([isReplaced, answer]);
	finish();
	assert.equal((await answer).status, 200);
	successor.stop();
});
