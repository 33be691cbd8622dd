import type {ConnectionOpts} from './connection-opts.js';
import {HttpConnection} from './http-connection.js';
import type {HttpResponse} from './http-response.js';
import type {OutgoingRequest} from './outgoing-request.js';

type Opts = ConnectionOpts & {
	/** Requests at a time; further ones wait. */
	readonly maxConnections: number;
};

type Request = OutgoingRequest & {
	/** Aborts the request; its connection is closed. */
	readonly signal: AbortSignal;
};

/**
 * Sends requests to one server, each on a connection of its own at a time; the connection used last
 * is used again first, unless a request has failed since its last response.
 *
 * @example
 * const {status} = await client.request({method: 'GET', path: '/', headers: [], body, signal});
 */
export class HttpClient {
	/** Creates a client without connections. */
	static create(opts: Opts): HttpClient {
		return new HttpClient(opts);
	}

	private readonly idle: HttpConnection[] = [];
	private readonly busy = new Set<HttpConnection>();
	private readonly waiting: Array<() => void> = [];

	private constructor(private readonly opts: Opts) {}

	/**
	 * Sends a request and returns the response.
	 *
	 * @throws ConnectionError when there is none; the reason of the signal when it aborts before.
	 */
	async request({signal, ...req}: Request): Promise<HttpResponse> {
		while (this.busy.size >= this.opts.maxConnections) {
			await new Promise<void>(resolve => {
				this.waiting.push(resolve);
			});
		}

		signal.throwIfAborted();
		const connection = this.acquire();
		const abort = () => {
			connection.abort();
		};

		const startMs = this.opts.clock.monotonic();
		this.busy.add(connection);
		signal.addEventListener('abort', abort, {once: true});
		try {
			return await connection.send(req);
		} catch (error) {
			this.closeIdleSince(startMs);
			throw error;
		} finally {
			signal.removeEventListener('abort', abort);
			this.busy.delete(connection);
			if (connection.isUsable) {
				this.idle.push(connection);
			}

			this.waiting.shift()?.();
		}
	}

	/** Closes all connections; requests in flight fail. */
	destroy(): void {
		for (const connection of [...this.idle, ...this.busy]) {
			connection.abort();
		}

		this.idle.length = 0;
	}

	/**
	 * Closes idle connections without a response since a request that failed: what has silenced one
	 * connection may have silenced all that were open then.
	 */
	private closeIdleSince(ms: number): void {
		for (const connection of this.idle.filter(({lastResponseMs}) => lastResponseMs < ms)) {
			connection.destroy();
		}
	}

	private acquire(): HttpConnection {
		for (let connection = this.idle.pop(); connection; connection = this.idle.pop()) {
			if (connection.isUsable) {
				return connection;
			}

			connection.destroy();
		}

		return HttpConnection.create(this.opts);
	}
}
