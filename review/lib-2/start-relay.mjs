import {connect, createServer} from 'node:net';
import {once} from 'node:events';

/**
 * Starts a relay in front of a server. It can silence the connections that are open, in both
 * directions and for good; those that are opened later work.
 *
 * @example
 * const relay = await startRelay({ip, port, target: {host: ip, port: 8080}});
 * relay.silence();
 */
export const startRelay = async ({ip, port, target}) => {
	const pairs = new Set();
	const server = createServer(near => {
		const far = connect(target);
		const pair = [near, far];
		pairs.add(pair);
		for (const [from, to] of [
			[near, far],
			[far, near],
		]) {
			from.setNoDelay(true);
			from.on('data', bytes => {
				if (pairs.has(pair)) {
					to.write(bytes);
				}
			});
			from.on('error', () => {});
			from.on('close', () => {
				// The end of a silent connection is not told to the other side either.
				if (pairs.delete(pair)) {
					to.destroy();
				}
			});
		}
	});
	server.listen(port, ip);
	await once(server, 'listening');
	const silent = [];
	return {
		silence() {
			const count = pairs.size;
			silent.push(...pairs);
			pairs.clear();
			return count;
		},
		stop() {
			server.close();
			for (const socket of [...silent, ...pairs].flat()) {
				socket.destroy();
			}
		},
	};
};
