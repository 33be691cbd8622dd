import assert from 'node:assert/strict';
import {once} from 'node:events';
import net, {type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {Relay} from '../src/soak/relay.js';

// An end completes an answer without a length, so the soak would blame the node for a cut answer.
test('a relay passes a reset on as an end', async () => {
	const server = net.createServer(socket => {
		socket.once('data', () => {
			socket.write('half', () => socket.resetAndDestroy());
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const relay = await Relay.start({target: () => ({host: '127.0.0.1', port})});
	for (let count = 0; count < 50; count++) {
		const client = net.connect(relay.port, '127.0.0.1');
		let hasEnded = false;
		client.on('error', () => {});
		client.on('end', () => {
			// A reset right after data is reported as an end, but leaves no remote address.
			hasEnded = client.remoteAddress !== undefined;
		});
		client.resume();
		client.write('x');
		await new Promise(resolve => {
			client.once('close', resolve);
		});
		assert.ok(!hasEnded);
	}

	await relay.stop();
	server.close();
});
