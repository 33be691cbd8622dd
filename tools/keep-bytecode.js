import {fork} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {createInterface} from 'node:readline';

const requests = 20;
const free = '127.0.0.1:0';

/** Settings of a node that finds no store: it starts all of its parts and reaches no other node. */
const settings = {
	nodeName: 'build',
	ip: '127.0.0.1',
	zone: 'build',
	region: 'build',
	listen: {inbound: free, outbound: free, ready: free, control: free},
	portRange: [0, 0],
	service: 'build',
	appAddr: '127.0.0.1:1',
	bounds: [],
	platform: {address: '127.0.0.1:1', readsPerS: 100},
};

/**
 * Starts the node through a loader, sends it some requests, which it refuses, and has it save the
 * bytecode of the code that has run.
 *
 * @param {string} loader Path of the loader.
 * @param {readonly string[]} flags Node.js flags that the node runs with in production.
 */
export const keepBytecode = async (loader, flags) => {
	const folder = await mkdtemp(path.join(os.tmpdir(), 'medlarsaddle-build-'));
	const file = path.join(folder, 'settings.json');
	await writeFile(file, JSON.stringify(settings));
	const child = fork(loader, ['--platform', file], {
		execArgv: flags,
		env: {...process.env, MEDLARSADDLE_HTTP_PORT: '0'},
		stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
	});
	const exited = once(child, 'exit');
	for await (const line of createInterface({input: child.stdout})) {
		const {part, port} = JSON.parse(line);
		if (part === 'callers') {
			await sendRequests(port);
			child.send('keep');
			break;
		}
	}

	await exited;
	await rm(folder, {recursive: true});
};

const sendRequests = async port => {
	for (let count = 0; count < requests; count++) {
		const reply = await fetch(`http://127.0.0.1:${port}/build/${count}`, {
			method: 'POST',
			headers: {'attempt-id': `build-${count}`, 'deadline-ms': '1000'},
			body: 'build',
		});
		await reply.text();
	}
};
