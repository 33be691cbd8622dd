import type {Socket} from 'node:net';
import type {Clock} from '@medlarsaddle/core';
import {connectionPhases} from './connection-phases.js';

type Phase = (typeof connectionPhases)[keyof typeof connectionPhases];

type Opts = {
	readonly clock: Clock;
	/** Connections that may be open at a time. */
	readonly maxConnections: number;
	/** Called when a connection was closed to make room. */
	readonly onClosed: () => void;
};

/** Time after which a head that has not come whole is no longer on its way, in milliseconds. */
const slowHeadMs = 500;

/**
 * The open connections of callers, bounded in number. For one too many it closes the one whose end
 * costs its caller the least: one whose head has stopped on its way, then the one that has been idle
 * for longest, then one whose request has not come whole. A request that was read is never cut off.
 *
 * @example
 * const table = ConnectionTable.create({clock, maxConnections: 2000, onClosed() {}});
 * table.add(socket);
 */
export class ConnectionTable {
	/** Creates an empty table. */
	static create(opts: Opts): ConnectionTable {
		return new ConnectionTable(opts);
	}

	/** When the connections of each phase entered it, in monotonic milliseconds, the first one first. */
	private readonly since = new Map<Phase, Map<Socket, number>>(
		Object.values(connectionPhases).map(phase => [phase, new Map()]),
	);

	private constructor(private readonly opts: Opts) {}

	/** Number of open connections. */
	get size(): number {
		return [...this.since.values()].reduce((sum, {size}) => sum + size, 0);
	}

	/** Adds a connection, which may be closed at once when no other one can be. */
	add(socket: Socket): void {
		this.setPhase(socket, connectionPhases.idle);
		socket.once('close', () => {
			this.remove(socket);
		});
		if (this.size > this.opts.maxConnections) {
			const victim = this.cheapest ?? socket;
			this.remove(victim);
			victim.destroy();
			this.opts.onClosed();
		}
	}

	/** Records what a connection does from now on. */
	setPhase(socket: Socket, phase: Phase): void {
		const sockets = this.since.get(phase)!;
		if (!sockets.has(socket) && !socket.destroyed) {
			this.remove(socket);
			sockets.set(socket, this.opts.clock.monotonic());
		}
	}

	/** The connection whose end costs its caller the least. */
	private get cheapest(): Socket | undefined {
		const [head] = this.since.get(connectionPhases.head)!;
		const isSlow = head && this.opts.clock.monotonic() - head[1] >= slowHeadMs;
		const [idle] = this.since.get(connectionPhases.idle)!;
		const [body] = this.since.get(connectionPhases.body)!;
		const entry = (isSlow ? head : undefined) ?? idle ?? head ?? body;
		return entry?.[0];
	}

	private remove(socket: Socket): void {
		for (const sockets of this.since.values()) {
			sockets.delete(socket);
		}
	}
}
