import {type Clock, type Log, events} from '@medlarsaddle/core';
import {Connection} from './connection.js';

/** What may change while the upstream stays the same. */
type Terms = {
	readonly healthPath: string;
	readonly maxConnections: number;
};

type Opts = Terms & {
	readonly origin: string;
	readonly maxBodyBytes: number;
	readonly clock: Clock;
	readonly log: Log;
};

const connectMs = 300;
const probeMs = 150;
const provenForMs = 250;
const staleAfterMs = 10_000;

/**
 * Connections to the upstream, never more than it allows. The one used last is used first, so that
 * those that are not needed grow stale and close.
 *
 * @example
 * const connection = await pool.take(true);
 * pool.giveBack(connection);
 */
export class Pool {
	/** Creates a pool without connections. */
	static create(opts: Opts): Pool {
		return new Pool(opts);
	}

	private idle: Connection[] = [];
	private terms: Terms;
	private trustedFromMs = Number.NEGATIVE_INFINITY;
	private readonly all = new Set<Connection>();

	private constructor(private readonly opts: Opts) {
		this.terms = opts;
	}

	/** Connections that exist. */
	get size(): number {
		return this.all.size;
	}

	/** Whether no idle connection has answered lately enough to be trusted without a probe. */
	get isProofStale(): boolean {
		const oldestMs = this.opts.clock.monotonic() - provenForMs;
		return this.idle.every(({provenMs}) => provenMs < oldestMs);
	}

	/**
	 * Takes a connection. One that must be proven has either answered just now or answers a probe
	 * first; a connection that went silent is closed here and costs the call nothing but time.
	 */
	async take(mustBeProven: boolean): Promise<Connection> {
		for (;;) {
			const connection = this.idle.pop();
			if (!connection) {
				return this.open();
			}

			const nowMs = this.opts.clock.monotonic();
			const ageMs = nowMs - connection.provenMs;
			const isFresh = ageMs < provenForMs;
			const isDoubted = connection.provenMs < this.trustedFromMs;
			const isTrusted = isFresh || !mustBeProven;
			if (connection.isUsable && ageMs < staleAfterMs && isTrusted && !isDoubted) {
				return connection;
			}

			if (connection.isUsable && (mustBeProven || isDoubted) && (await this.probe(connection))) {
				return connection;
			}

			this.drop(connection);
		}
	}

	/** Takes up new terms. Calls in flight go on; what is too many closes as it is given back. */
	adapt(terms: Terms): void {
		this.terms = terms;
	}

	/** Trusts no connection any more before it has answered again; one of them went silent. */
	doubtAll(): void {
		this.trustedFromMs = this.opts.clock.monotonic();
	}

	/** Puts back a connection that can be used again, or forgets one that can't. */
	giveBack(connection: Connection): void {
		if (connection.isUsable && this.all.size <= this.terms.maxConnections) {
			this.idle.push(connection);
		} else {
			this.drop(connection);
		}
	}

	/** Closes a connection. */
	drop(connection: Connection): void {
		this.all.delete(connection);
		connection.destroy();
	}

	/** Closes every connection. */
	destroy(): void {
		for (const connection of this.all) {
			connection.destroy();
		}

		this.all.clear();
		this.idle = [];
	}

	/** Whether the upstream answers a health request on a new connection. */
	async isAnswering(): Promise<boolean> {
		const connection = Connection.create({...this.opts, connectMs});
		const isUp = await this.answers(connection);
		connection.destroy();
		return isUp;
	}

	private open(): Connection {
		const connection = Connection.create({...this.opts, connectMs});
		this.all.add(connection);
		return connection;
	}

	private async probe(connection: Connection): Promise<boolean> {
		const isUp = await this.answers(connection);
		if (!isUp) {
			this.opts.log(events.connectionReplaced, {origin: this.opts.origin});
		}

		return isUp;
	}

	private async answers(connection: Connection): Promise<boolean> {
		const reply = await connection.send({
			method: 'GET',
			path: this.terms.healthPath,
			headers: [],
			body: new Uint8Array(),
			signal: AbortSignal.timeout(probeMs),
		});
		return reply.isOk();
	}
}
