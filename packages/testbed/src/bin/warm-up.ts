import {parseArgs} from 'node:util';
import {RoutedHost} from '../harness/routed-host.js';
import {Platform} from '../platform/platform.js';
import {soakConfiguration} from '../soak/soak-configuration.js';

/**
 * Runs a daemon as two nodes of a small deployment, sends requests through them, so that the code
 * that serves them is compiled, and then signals one of them to save its bytecode. The daemon is
 * started with the flags of Node.js that follow its path.
 */
const {positionals} = parseArgs({allowPositionals: true, strict: false});
const [script, ...flags] = positionals;
const rounds = 40;

const platform = await Platform.start();
platform.write('config', 'main', soakConfiguration.of(1));
const hosts = await Promise.all(
	['catalogue', 'payment'].map(async service =>
		RoutedHost.start({
			id: service,
			dataCentre: 'build',
			service,
			storeUrl: platform.url,
			daemon: {script: script!, flags},
		}),
	),
);
try {
	for (const host of hosts) {
		await host.until(async () => host.isReady());
		await host.report();
	}

	let sent = 0;
	const send = async (host: RoutedHost, target: string) => {
		sent++;
		const headers = {'attempt-id': `build-${sent}`, 'deadline-ms': '2000'};
		return host.send(target, headers);
	};

	for (const host of hosts) {
		for (const target of ['/look/1', '/pay/1']) {
			await host.until(async () => (await send(host, target)).status === 200);
		}
	}

	for (let round = 0; round < rounds; round++) {
		await Promise.all(
			hosts.flatMap(host => [send(host, '/look/1'), send(host, '/pay/1'), send(host, '/none')]),
		);
	}

	const {daemon} = hosts[0]!;
	await daemon.end('SIGUSR2');
} finally {
	await Promise.all(hosts.map(async host => host.stop()));
	await platform.stop();
}
