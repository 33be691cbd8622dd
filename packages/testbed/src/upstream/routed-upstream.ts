import http from 'node:http';
import type {AddressInfo} from 'node:net';
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
	private readonly server: http.Server;
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
				res.writeHead(200, {'instance-id': this.id}).end();
				return;
			}

			const expected = req.headers['target-instance'];
			if (expected !== undefined && expected !== this.id) {
				res.writeHead(421, {'instance-id': this.id}).end();
				return;
			}

			this.handler(req, res);
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
		this.seq++;
		const reply = await request(`http://127.0.0.1:${livenessPort}/-/instances/${this.id}`, {
			method: 'PUT',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				address,
				info: {service: this.service, version: 'v1', zone: 'z', slots: 20},
				status: {state, seq: this.seq, coldLeftMs: 0},
				born: this.born,
			}),
		});
		await reply.body.dump();
		return reply.statusCode;
	}

	/** Closes all connections and stops listening. */
	stop(): void {
		this.server.closeAllConnections();
		this.server.close();
	}
}
