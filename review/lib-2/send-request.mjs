import {connect} from 'node:net';
import {HttpReader} from './http-reader.mjs';

/**
 * Sends one request on a connection of its own, as a client or an endpoint does, and resolves with
 * the status, or with `status` undefined when the connection ends first or the client gives up.
 *
 * @example
 * const {status} = await sendRequest({ip, port, id: 'a1', method: 'POST', target: '/pay/1', host, deadlineMs: 5000});
 */
export const sendRequest = async ({
	ip,
	port,
	id,
	method = 'GET',
	target,
	host,
	deadlineMs,
	body = Buffer.alloc(0),
	giveUpMs = deadlineMs,
	onConnect = () => {},
}) =>
	new Promise(resolve => {
		const startMs = performance.now();
		const socket = connect({host: ip, port});
		let isConnected = false;
		const settle = answer => {
			clearTimeout(timer);
			socket.destroy();
			resolve({...answer, isConnected, tookMs: Math.round(performance.now() - startMs)});
		};

		const timer = setTimeout(() => {
			settle({end: 'gave up'});
		}, giveUpMs);
		const reader = new HttpReader({
			onMessage({first, headers, body: answerBody}) {
				const status = Number(first.split(' ')[1]);
				settle({status, headers, body: answerBody, end: 'answered'});
			},
		});
		socket.on('connect', () => {
			isConnected = true;
			onConnect();
			const lines = [
				`${method} ${target} HTTP/1.1`,
				`Host: ${host}`,
				`Attempt-Id: ${id}`,
				`Deadline-Ms: ${deadlineMs}`,
				...(method === 'GET' ? [] : [`Content-Length: ${body.length}`]),
			];
			socket.write(`${lines.join('\r\n')}\r\n\r\n`);
			if (body.length > 0) {
				socket.write(body);
			}
		});
		socket.on('data', bytes => {
			reader.push(bytes);
		});
		socket.on('error', error => {
			settle({end: `error ${error.code}`});
		});
		socket.on('close', () => {
			settle({end: 'closed without an answer'});
		});
	});
