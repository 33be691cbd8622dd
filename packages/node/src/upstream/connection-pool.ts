import type {ByteBudget} from '@medlarsaddle/control';
import {type Clock, type Log, events} from '@medlarsaddle/core';
import {Connection} from './connection.js';

/** Settings that an upstream may change while it runs. */
type PoolSettings = {
	readonly healthPath: string;
	readonly maxConnections: number;
};

type Opts = PoolSettings & {
	readonly origin: string;
	readonly maxBodyBytes: number;
	/** What the bodies of answers may hold together while they are read. */
	readonly budget?: ByteBudget | undefined;
	readonly clock: Clock;
	readonly log: Log;
};

const connectTimeoutMs = 300;
const probeTimeoutMs = 150;
const freshForMs = 250;
const maxIdleMs = 10_000;

/**
 * Pool of connections to the upstream, never more than the upstream allows. The most recently used
 * connection is reused first, so that those not needed become stale and are closed.
 *
 * @example
 * const connection = await pool.acquire(true);
 * pool.release(connection);
 */
export class ConnectionPool {
	/** Creates a pool without connections. */
	static create(opts: Opts): ConnectionPool {
		return new ConnectionPool(opts);
	}

	private readonly idle: Connection[] = [];
	private settings: PoolSettings;
	private answerRequiredSinceMs = Number.NEGATIVE_INFINITY;
	private readonly all = new Set<Connection>();
	private hasRetired = false;
	/** Health request that is pending; several callers share it. */
	private pendingCheck: Promise<boolean> | undefined;

	private constructor(private readonly opts: Opts) {
		this.settings = opts;
	}

	/** Number of open connections, idle or in use. */
	get size(): number {
		return this.all.size;
	}

	/** Whether the upstream was withdrawn or replaced, so that no connection is used again. */
	get isRetired(): boolean {
		return this.hasRetired;
	}

	/** Whether no idle connection has answered recently enough to be used without a probe. */
	get isProbeDue(): boolean {
		const oldestMs = this.opts.clock.monotonic() - freshForMs;
		return this.idle.every(({lastAnswerMs}) => lastAnswerMs < oldestMs);
	}

	/**
	 * Acquires a connection. With `mustBeFresh`, the connection has either answered very recently or
	 * answers a probe first. A silent connection is closed here, before the call is sent, and only
	 * delays the call: what silenced it may have silenced those that have been idle for as long, so they
	 * are closed with it, and the call goes on a new one.
	 */
	async acquire(mustBeFresh: boolean): Promise<Connection> {
		for (;;) {
			const connection = this.idle.pop();
			if (!connection) {
				return this.open();
			}

			const nowMs = this.opts.clock.monotonic();
			const ageMs = nowMs - connection.lastAnswerMs;
			const isFresh = ageMs < freshForMs;
			const isProbeRequired = connection.lastAnswerMs < this.answerRequiredSinceMs;
			const isFreshEnough = isFresh || !mustBeFresh;
			if (connection.isUsable && ageMs < maxIdleMs && isFreshEnough && !isProbeRequired) {
				return connection;
			}

			if (!connection.isUsable || !(mustBeFresh || isProbeRequired)) {
				this.drop(connection);
			} else if (await this.isHealthy(connection)) {
				return connection;
			} else {
				this.dropSilent(connection);
				return this.open();
			}
		}
	}

	/** Applies new settings. Calls in flight continue; surplus connections close when released. */
	updateSettings(settings: PoolSettings): void {
		this.settings = settings;
	}

	/** Requires each connection to answer before its next use, after one of them went silent. */
	requireProbes(): void {
		this.answerRequiredSinceMs = this.opts.clock.monotonic();
	}

	/** Returns a usable connection to the pool, or closes it if it is unusable or surplus. */
	release(connection: Connection): void {
		const isSurplus = this.hasRetired || this.all.size > this.settings.maxConnections;
		if (connection.isUsable && !isSurplus) {
			this.idle.push(connection);
		} else {
			this.drop(connection);
		}
	}

	/** Removes a connection from the pool and closes it. */
	drop(connection: Connection): void {
		this.all.delete(connection);
		connection.destroy();
	}

	/** Closes the idle connections, and each other one when its call has ended. */
	retire(): void {
		this.hasRetired = true;
		for (const connection of this.idle.splice(0)) {
			this.drop(connection);
		}
	}

	/** Whether the upstream answers a health request on a new connection. */
	async isAnswering(): Promise<boolean> {
		this.pendingCheck ??= this.checkAnswering();
		return this.pendingCheck;
	}

	private async checkAnswering(): Promise<boolean> {
		const connection = Connection.create({...this.opts, connectTimeoutMs});
		const isUp = await this.isHealthy(connection);
		connection.destroy();
		this.pendingCheck = undefined;
		return isUp;
	}

	private open(): Connection {
		const connection = Connection.create({...this.opts, connectTimeoutMs});
		this.all.add(connection);
		return connection;
	}

	/** Closes a connection that did not answer a probe, and those that have been idle for as long. */
	private dropSilent(silent: Connection): void {
		const dropped = this.idle.filter(({lastAnswerMs}) => lastAnswerMs <= silent.lastAnswerMs);
		for (const connection of dropped) {
			this.idle.splice(this.idle.indexOf(connection), 1);
			this.drop(connection);
		}

		this.drop(silent);
		const {origin, log} = this.opts;
		log(events.connectionReplaced, {origin, closed: dropped.length + 1});
	}

	private async isHealthy(connection: Connection): Promise<boolean> {
		const cancel = this.opts.clock.after(probeTimeoutMs, () => {
			connection.abort();
		});
		const reply = await connection.send({
			method: 'GET',
			path: this.settings.healthPath,
			headers: [],
			body: new Uint8Array(),
		});
		cancel();
		return reply.isOk();
	}
}
