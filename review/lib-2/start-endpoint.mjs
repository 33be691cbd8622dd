import {once} from 'node:events';
import http from 'node:http';
import {createServer} from 'node:net';
import {HttpReader} from './http-reader.mjs';

/** Interval of liveness reports, `heartbeatMs` of the settings. */
const reportMs = 1500;

/**
 * Starts an endpoint as the pages describe it: it runs `slots` requests at a time, queues a few more,
 * rejects others with `Not-Executed`, answers health requests, and reports itself to the node on its
 * machine. `work` runs a request and resolves with the body of its answer; for an answer of another
 * form with a function that sends it, given the connection and the headers, and resolves at its end.
 *
 * @example
 * const endpoint = await startEndpoint({ip, port, id: 'i-1', service: 'pay', zone, slots: 4, control, note, work});
 */
export const startEndpoint = async ({
	ip,
	port,
	id,
	service,
	zone,
	slots,
	queue = 4,
	control,
	reportedAddress,
	note,
	work,
}) => {
	const born = Date.now();
	let running = 0;
	let seq = 0;
	let state = 'ready';
	const waiting = [];
	const sockets = new Set();
	const runs = [];

	const send = (socket, {status, headers, body = Buffer.alloc(0)}) => {
		const lines = [
			`HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
			...headers,
			`Content-Length: ${body.length}`,
		];
		const bytes = Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`), body]);
		if (!socket.destroyed) {
			socket.write(bytes);
		}
	};

	const next = () => {
		for (const start of waiting.splice(0, slots - running)) {
			start();
		}
	};

	/** Takes a slot, or a place in the queue; false when both are full. */
	const acquire = async () => {
		if (running >= slots && waiting.length >= queue) {
			return false;
		}

		if (running >= slots) {
			await new Promise(resolve => {
				waiting.push(() => {
					running++;
					resolve();
				});
			});
		} else {
			running++;
		}

		return true;
	};

	const release = () => {
		running--;
		next();
	};

	const serveHealth = async socket => {
		const headers = [`Instance-Id: ${id}`, `Server-Load: ${running},${waiting.length},${slots}`];
		if (!(await acquire())) {
			note('rejects', {endpoint: id, request: 'health'});
			send(socket, {status: 503, headers: [...headers, 'Not-Executed: 1']});
			return;
		}

		release();
		note('health', {endpoint: id, running, waiting: waiting.length});
		send(socket, {status: state === 'ready' ? 200 : 503, headers});
	};

	const serve = async (socket, {first, headers, body}) => {
		const [method, target] = first.split(' ');
		if (target === '/health') {
			await serveHealth(socket);
			return;
		}

		const attempt = headers.get('attempt-id');
		const echo = [`Attempt-Id: ${attempt}`, `Server-Load: ${running},${waiting.length},${slots}`];
		if (headers.get('target-instance') !== id) {
			send(socket, {status: 421, headers: [...echo, `Instance-Id: ${id}`]});
			return;
		}

		const arrivedMs = performance.now();
		note('reaches', {endpoint: id, request: attempt, method, target, state});
		runs.push({id: attempt, endpoint: id, arrivedMs, state});
		const run = runs.at(-1);
		if (!(await acquire())) {
			note('rejects', {endpoint: id, request: attempt});
			send(socket, {status: 503, headers: [...echo, 'Not-Executed: 1']});
			return;
		}

		try {
			run.startMs = performance.now();
			note('runs', {endpoint: id, request: attempt});
			const answer = await work({id: attempt, method, target, headers, body, endpoint: id});
			run.endMs = performance.now();
			note('ran', {endpoint: id, request: attempt, cut: socket.destroyed});
			const sealed = [...echo, `Server-Seal: seal.${id}.${attempt}`];
			if (typeof answer === 'function') {
				await answer(socket, sealed);
			} else if (!socket.destroyed) {
				send(socket, {status: 200, headers: sealed, body: Buffer.from(answer)});
			}
		} finally {
			release();
		}
	};

	const server = createServer(socket => {
		sockets.add(socket);
		socket.setNoDelay(true);
		const reader = new HttpReader({
			onMessage(message) {
				serve(socket, message).catch(() => {
					socket.destroy();
				});
			},
		});
		socket.on('data', bytes => {
			reader.push(bytes);
		});
		socket.on('error', () => {});
		socket.on('close', () => {
			sockets.delete(socket);
		});
	});
	server.listen(port, ip);
	await once(server, 'listening');

	const notify = async (method, body) =>
		new Promise(resolve => {
			const [host, controlPort] = control.split(':');
			const req = http.request({
				host,
				port: controlPort,
				method,
				path: `/-/instances/${id}`,
				headers: {'content-type': 'application/json'},
				timeout: 1000,
				agent: false,
			});
			req.on('response', res => {
				res.resume();
				resolve(res.statusCode);
			});
			req.on('timeout', () => req.destroy());
			req.on('error', () => {
				resolve(undefined);
			});
			req.end(body && JSON.stringify(body));
		});

	const report = async () => {
		seq++;
		const info = {service, version: 'v1', zone, slots};
		return notify('PUT', {
			address: reportedAddress ?? `${ip}:${server.address().port}`,
			info,
			status: {state, seq, coldLeftMs: 0},
			born,
		});
	};

	const timer = setInterval(report, reportMs);
	return {
		id,
		runs,
		get port() {
			return server.address().port;
		},
		report,
		get running() {
			return running;
		},
		/** Reports that the endpoint drains, and resolves with the time of the confirmation. */
		async drain() {
			state = 'draining';
			const status = await report();
			const confirmedMs = performance.now();
			note('drains', {endpoint: id, confirmed: status});
			return status === 200 ? confirmedMs : undefined;
		},
		/** Ends the endpoint with all its connections. */
		stop() {
			clearInterval(timer);
			server.close();
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
		/** Leaves for good, as an endpoint that has drained does. */
		async leave() {
			clearInterval(timer);
			await notify('DELETE');
			note('leaves', {endpoint: id});
			this.stop();
		},
	};
};
