import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test} from 'node:test';
import {LogOutput} from '../src/log-output.js';

const line = `${'x'.repeat(1000)}\n`;

/** Opens an output whose reader never reads. */
const openBlocked = async () => {
	const server = net.createServer(socket => socket.pause());
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
	await once(socket, 'connect');
	const {fd} = (socket as unknown as {_handle: {fd: number}})._handle;
	return {
		output: LogOutput.create(fd),
		close() {
			socket.destroy();
			server.close();
		},
	};
};

// A reader that stops reading must neither block the node nor fill its memory.
test('lines that a blocked reader does not take are dropped and counted', async () => {
	const {output, close} = await openBlocked();
	const before = process.memoryUsage().rss;
	for (let count = 0; count < 50_000; count++) {
		output.write(line);
	}

	const dropped = output.takeDropped();
	assert.ok(dropped > 40_000, String(dropped));
	assert.equal(output.takeDropped(), 0);
	assert.ok(process.memoryUsage().rss - before < 40 * 1024 * 1024);
	close();
});
