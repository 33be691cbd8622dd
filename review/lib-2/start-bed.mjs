import {createServer} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import http from 'node:http';
import {startNode} from './start-node.mjs';
import {startStore} from './start-store.mjs';

const partNames = ['inbound', 'outbound', 'ready', 'control', 'app', 'peer'];
const readyTimeoutMs = 20_000;

/** Loopback addresses of this run, apart from those of another run at the same time. */
const subnet = `127.${64 + (process.pid % 128)}.${Math.floor(process.pid / 128) % 250}`;

const freePorts = async ip => {
	const servers = await Promise.all(
		partNames.map(async () => {
			const server = createServer();
			server.listen(0, ip);
			await once(server, 'listening');
			return server;
		}),
	);
	const ports = servers.map(server => server.address().port);
	for (const server of servers) {
		server.close();
	}

	return Object.fromEntries(partNames.map((name, index) => [name, ports[index]]));
};

/**
 * Starts the store and one node on each machine, and waits until all nodes are ready.
 *
 * @example
 * const bed = await startBed({configuration, machines: [{name: 'a', zone: 'z1', service: 'pay'}], note});
 * await bed.stop();
 */
export const startBed = async ({configuration, machines, note}) => {
	const store = await startStore(`${subnet}.1`);
	store.put('config', 'main', configuration);
	const started = await Promise.all(
		machines.map(async ({name, zone, service}, index) => {
			const ip = `${subnet}.${index + 11}`;
			const ports = await freePorts(ip);
			return {name, zone, service, ip, ports, control: `${ip}:${ports.control}`};
		}),
	);
	const startOn = (machine, isFirstStart) => {
		machine.node = startNode({...machine, storeAddress: store.address, isFirstStart});
		note('starts', {node: machine.name});
	};

	const isReady = async ({ip, ports}) =>
		new Promise(resolve => {
			const req = http.get({
				host: ip,
				port: ports.ready,
				path: '/-/ready',
				timeout: 500,
				agent: false,
			});
			req.on('response', res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('timeout', () => req.destroy());
			req.on('error', () => {
				resolve(false);
			});
		});

	const waitUntilReady = async machine => {
		const endMs = performance.now() + readyTimeoutMs;
		while (!(await isReady(machine))) {
			if (performance.now() > endMs) {
				throw new Error(`${machine.name} was not ready in time`);
			}

			await sleep(100);
		}
	};

	for (const machine of started) {
		startOn(machine, true);
	}

	const stop = async () => {
		await Promise.all(started.map(async ({node}) => node.stop()));
		store.stop();
	};

	try {
		await Promise.all(started.map(async machine => waitUntilReady(machine)));
	} catch (error) {
		await stop();
		throw error;
	}

	note('ready', {nodes: started.length});
	return {
		store,
		machines: Object.fromEntries(started.map(machine => [machine.name, machine])),
		isReady,
		waitUntilReady,
		startOn,
		stop,
	};
};
