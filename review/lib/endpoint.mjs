import net from 'node:net';

const beatMs = 1500;

const headerOf = (lines, name) =>
	lines
		.find(line => line.toLowerCase().startsWith(`${name}:`))
		?.slice(name.length + 1)
		.trim();

/**
 * An endpoint: it has slots and a short queue, answers with id and seal, answers health probes in
 * the same way as requests, and sends liveness reports to the process on its machine. `opts` may
 * change its behaviour.
 */
export class Endpoint {
	static async start(opts) {
		const endpoint = new Endpoint(opts);
		await new Promise(resolve => {
			endpoint.server.listen(opts.port, opts.ip, resolve);
		});
		return endpoint;
	}

	/** Runs, in order: what began to be worked on, and when. */
	runs = [];
	running = 0;
	answers = 0;
	waiting = [];
	seq = 0;
	isLeaving = false;
	sockets = new Set();
	born = Date.now();

	constructor({
		bed,
		service,
		ip,
		port,
		control,
		id,
		slots = 8,
		queue = 8,
		workMs = () => 20,
		intercept = () => false,
		dropsOnClose = true,
		repeatsLate = () => 0,
	}) {
		Object.assign(this, {bed, service, ip, port, control, id, slots, queue});
		Object.assign(this, {workMs, intercept, dropsOnClose, repeatsLate});
		this.server = net.createServer({noDelay: true}, socket => {
			this.serve(socket);
		});
	}

	get isFull() {
		return this.running >= this.slots && this.waiting.length >= this.queue;
	}

	serve(socket) {
		let received = Buffer.alloc(0);
		const connection = {socket, isOpen: true};
		this.sockets.add(socket);
		socket.on('error', () => {});
		socket.on('close', () => {
			connection.isOpen = false;
			this.sockets.delete(socket);
		});
		socket.on('data', chunk => {
			received = Buffer.concat([received, chunk]);
			for (;;) {
				const headEnd = received.indexOf('\r\n\r\n');
				if (headEnd === -1) {
					return;
				}

				const [first, ...lines] = received.subarray(0, headEnd).toString('latin1').split('\r\n');
				const end = headEnd + 4 + Number(headerOf(lines, 'content-length') ?? 0);
				if (received.length < end) {
					return;
				}

				received = received.subarray(end);
				const [method, target] = first.split(' ');
				this.take({
					method,
					target,
					id: headerOf(lines, 'attempt-id'),
					instance: headerOf(lines, 'target-instance'),
					budgetMs: Number(headerOf(lines, 'deadline-ms') ?? 60_000),
					connection,
				});
			}
		});
	}

	take(req) {
		const {bed, id: own} = this;
		if (req.target === '/health') {
			this.answerHealth(req);
			return;
		}

		if (req.instance !== undefined && req.instance !== this.id) {
			this.write(req, '421 Misdirected Request', ['Not-Executed: 1']);
			return;
		}

		if (this.intercept(req, this)) {
			return;
		}

		if (this.isFull) {
			bed.note(`endpoint ${own}: ${req.id} rejected, full`);
			this.write(req, '503 Service Unavailable', ['Not-Executed: 1']);
			return;
		}

		this.waiting.push(req);
		this.startNext();
	}

	startNext() {
		while (this.running < this.slots && this.waiting.length > 0) {
			const req = this.waiting.shift();
			if (!req.connection.isOpen && (req.isHealth || this.dropsOnClose)) {
				continue;
			}

			this.running++;
			if (req.isHealth) {
				this.running--;
				this.writeHealth(req);
				continue;
			}

			this.runs.push({id: req.id, target: req.target, atMs: this.bed.nowMs});
			this.bed.note(`endpoint ${this.id} runs ${req.method} ${req.target} ${req.id}`);
			const endMs = Math.min(this.workMs(req), req.budgetMs);
			const stop = () => {
				clearTimeout(timer);
				req.connection.socket.off('close', stop);
				this.running--;
				this.write(req, '200 OK', ['Server-Seal: 3e1b.07.5a2'], `${this.id} ran ${req.id}`);
				this.startNext();
			};

			const timer = setTimeout(stop, endMs);
			if (this.dropsOnClose) {
				req.connection.socket.on('close', stop);
			}
		}
	}

	answerHealth(req) {
		if (this.isLeaving) {
			this.writeHealth(req);
			return;
		}

		if (this.isFull) {
			this.write(req, '503 Service Unavailable', ['Not-Executed: 1']);
			return;
		}

		this.waiting.push({...req, isHealth: true});
		this.startNext();
	}

	writeHealth(req) {
		this.write(req, this.isLeaving ? '503 Service Unavailable' : '200 OK', [
			`Instance-Id: ${this.id}`,
			`Server-Load: ${this.running},${this.waiting.length},${this.slots}`,
		]);
	}

	write({id, connection}, status, headers, body = '') {
		if (!connection.isOpen) {
			return;
		}

		const echo = id === undefined ? [] : [`Attempt-Id: ${id}`];
		const lines = [`HTTP/1.1 ${status}`, ...echo, ...headers, `Content-Length: ${body.length}`];
		const answer = `${lines.join('\r\n')}\r\n\r\n${body}`;
		this.answers++;
		connection.socket.write(answer);
		const lateMs = this.repeatsLate({id, status});
		if (lateMs > 0) {
			setTimeout(() => {
				if (connection.isOpen) {
					this.bed.note(
						`endpoint ${this.id} sends again, ${lateMs} ms late: ${status} for ${id ?? 'a health probe'}`,
					);
					connection.socket.write(answer);
				}
			}, lateMs);
		}
	}

	report(state = 'ready') {
		this.seq++;
		return JSON.stringify({
			address: `${this.ip}:${this.port}`,
			info: {service: this.service, version: 'v1', zone: 'kozep-a', slots: this.slots},
			status: {state, seq: this.seq, coldLeftMs: 0},
			born: this.born,
		});
	}

	/** Sends a liveness report; resolves with the status, 0 where there is no confirmation. */
	async beat(body = this.report(), method = 'PUT') {
		try {
			const answer = await fetch(`http://${this.ip}:${this.control}/-/instances/${this.id}`, {
				method,
				...(method === 'PUT' ? {headers: {'content-type': 'application/json'}, body} : {}),
				signal: AbortSignal.timeout(1000),
			});
			await answer.text();
			return answer.status;
		} catch {
			return 0;
		}
	}

	startBeats() {
		this.beat();
		this.beatTimer = setInterval(() => {
			this.beat();
		}, beatMs);
	}

	stopBeats() {
		clearInterval(this.beatTimer);
	}

	/** Ends the endpoint. */
	end() {
		this.stopBeats();
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}
}
