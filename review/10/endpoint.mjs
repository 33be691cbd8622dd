import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {startEndpoint} from '../lib-2/start-endpoint.mjs';

const workMs = 160;

/** Bytes of one chunk: one byte of the body, and an extension, which a chunk may have. */
const chunk = `1;${'x'.repeat(190)}\r\na\r\n`;
const piece = Buffer.from(chunk.repeat(Math.floor((64 * 1024) / chunk.length)));

const note = (event, fields) => {
	process.send?.({event, fields});
};

/** Sends a body in chunks without end, until the other side closes the connection. */
const sendWithoutEnd = async (socket, headers) =>
	new Promise(resolve => {
		const sendNext = () => {
			if (socket.destroyed) {
				resolve();
			} else if (socket.write(piece)) {
				setImmediate(sendNext);
			} else {
				socket.once('drain', sendNext);
			}
		};

		socket.once('close', resolve);
		socket.write(
			`${['HTTP/1.1 200 OK', ...headers, 'Transfer-Encoding: chunked'].join('\r\n')}\r\n\r\n`,
		);
		sendNext();
	});

// An endpoint as a process of its own, with the settings in its argument. Its parent tells it when to
// be faulty; then one of `spoiledEvery` answers has no end.
let isFaulty = false;
let answers = 0;
const {spoiledEvery, ...settings} = JSON.parse(process.argv[2]);
const endpoint = await startEndpoint({
	...settings,
	note,
	async work({id}) {
		await sleep(workMs);
		answers++;
		if (!isFaulty || answers % spoiledEvery !== 0) {
			return 'map';
		}

		note('answers without end', {endpoint: settings.id, request: id});
		return sendWithoutEnd;
	},
});
process.on('message', message => {
	({isFaulty} = message);
	answers = 0;
});
process.on('disconnect', () => {
	endpoint.stop();
});
await endpoint.report();
process.send?.({event: 'listens', fields: {endpoint: settings.id}});
