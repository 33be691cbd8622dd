import http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {once} from 'node:events';
import {request} from 'undici';

/** Handles a call to the simulated upstream. */
type CallHandler = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/**
 * Simulated upstream that speaks the platform's protocol: it answers with the attempt ID of the
 * call and a seal, and reports itself to the node on its host.
 *
 * @example
 * const upstream = await RoutedUpstream.start('pay', 'i-1');
 */
export class RoutedUpstream {
	/** Starts the upstream on a free port. */
	static async start(service: string, id: string, born = 1000): Promise<RoutedUpstream> {
		const upstream = new RoutedUpstream(service, id, born);
		upstream.server.listen(0, '127.0.0.1');
		await once(upstream.server, 'listening');
		return upstream;
	}

	/** Attempt IDs of the calls that ran, in order. */
	readonly executedIds: string[] = [];
	/** Handler of calls; may be replaced at any time. */
	handler: CallHandler;
	/** Whether the upstream has ended. */
	isStopped = false;
	/** Whether the upstream has announced that it leaves, which its health check says. */
	private isLeaving = false;
	private readonly server: http.Server;
	private readonly sockets = new Set<Socket>();
	private seq = 0;

	private constructor(
		private readonly service: string,
		private readonly id: string,
		/** Number of this start of the service on its host; a later start has a higher one. */
		private readonly born: number,
	) {
		this.handler = this.answer;
		this.server = http.createServer((req, res) => {
			if (req.url === '/health') {
				res.writeHead(this.isLeaving ? 503 : 200, {'instance-id': this.id}).end();
				return;
			}

			const expected = req.headers['target-instance'];
			if (expected !== undefined && expected !== this.id) {
				res.writeHead(421, {'instance-id': this.id}).end();
				return;
			}

			this.handler(req, res);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('close', () => {
				this.sockets.delete(socket);
			});
		});
	}

	/** Address on which the upstream listens. */
	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	/** Port on which the upstream listens; undefined once it has stopped. */
	get port(): number | undefined {
		return (this.server.address() as AddressInfo | null)?.port;
	}

	/** Runs a call and answers it; the default handler. */
	readonly answer: CallHandler = (req, res) => {
		const attemptId = String(req.headers['attempt-id']);
		this.executedIds.push(attemptId);
		res.writeHead(200, {'attempt-id': attemptId, 'server-seal': `${this.id}.seal`});
		res.end(`${this.id} ran ${req.url ?? ''}`);
	};

	/** Reports the upstream at the liveness port of a node; resolves with the HTTP status. */
	async report(
		livenessPort: number,
		state: 'ready' | 'draining' = 'ready',
		address = this.address,
	): Promise<number> {
		this.isLeaving ||= state === 'draining';
		return this.send(livenessPort, this.writeReport(state, address));
	}

	/** Writes the next report, which may be sent late. */
	writeReport(state: 'ready' | 'draining' = 'ready', address = this.address): string {
		this.seq++;
		return JSON.stringify({
			address,
			info: {service: this.service, version: 'v1', zone: 'z', slots: 20},
			status: {state, seq: this.seq, coldLeftMs: 0},
			born: this.born,
		});
	}

	/** Sends a report, under this ID or another one; resolves with the HTTP status. */
	async send(livenessPort: number, report: string, id = this.id): Promise<number> {
		return this.notifyNode(livenessPort, 'PUT', report, id);
	}

	/** Tells the node that the upstream leaves; resolves with the HTTP status. It goes on serving. */
	async leave(livenessPort: number): Promise<number> {
		this.isLeaving = true;
		return this.notifyNode(livenessPort, 'DELETE');
	}

	/** Resets all connections, since an end would complete an answer without a length. */
	stop(): void {
		this.isStopped = true;
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	private async notifyNode(
		livenessPort: number,
		method: 'PUT' | 'DELETE',
		body?: string,
		id = this.id,
	): Promise<number> {
		const reply = await request(`http://127.0.0.1:${livenessPort}/-/instances/${id}`, {
			method,
			...(body === undefined ? {} : {headers: {'content-type': 'application/json'}, body}),
		});
		await reply.body.dump();
		return reply.statusCode;
	}
}
