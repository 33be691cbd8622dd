import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {request} from 'undici';

/** How an upstream stand-in treats the calls that it gets. */
type Manner = (req: http.IncomingMessage, res: http.ServerResponse) => void;

/**
 * Stand-in for an upstream that speaks the platform's protocol: it answers with the ID of the call
 * and a seal, and reports itself to the node beside it.
 *
 * @example
 * const upstream = await RoutedUpstream.start('pay', 'i-1');
 */
export class RoutedUpstream {
	/** Starts one on a free port. */
	static async start(service: string, id: string, born = 1000): Promise<RoutedUpstream> {
		const upstream = new RoutedUpstream(service, id, born);
		upstream.server.listen(0, '127.0.0.1');
		await once(upstream.server, 'listening');
		return upstream;
	}

	/** IDs of the calls that it ran, in order. */
	readonly ran: string[] = [];
	/** How it treats the calls from now on. */
	manner: Manner;
	private readonly server: http.Server;
	private seq = 0;

	private constructor(
		private readonly service: string,
		private readonly id: string,
		/** Which start of the service on its host it is; later ones are higher. */
		private readonly born: number,
	) {
		this.manner = this.answer;
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

			this.manner(req, res);
		});
	}

	/** Address at which it listens. */
	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	/** Port on which it listens; undefined once it was stopped. */
	get port(): number | undefined {
		return (this.server.address() as AddressInfo | null)?.port;
	}

	/** Runs a call and answers it. */
	readonly answer: Manner = (req, res) => {
		const attempt = String(req.headers['attempt-id']);
		this.ran.push(attempt);
		res.writeHead(200, {'attempt-id': attempt, 'server-seal': `${this.id}.seal`});
		res.end(`${this.id} ran ${req.url ?? ''}`);
	};

	/** Reports itself to the node whose liveness address is given; resolves with the status. */
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

	/** Stops it. */
	stop(): void {
		this.server.closeAllConnections();
		this.server.close();
	}
}
