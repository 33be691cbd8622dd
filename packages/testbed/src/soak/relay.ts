import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';
import net, {type AddressInfo, type Socket} from 'node:net';
import {linkFaults} from './link-faults.js';

type LinkFault = (typeof linkFaults)[keyof typeof linkFaults];

type Target = {readonly host: string; readonly port: number};

type Opts = {
	/** Where it listens; a free port of the loopback by default. */
	readonly host?: string;
	readonly port?: number;
	/** Looked up for each connection, since a process that starts again has other ports. */
	readonly target: () => Target | undefined;
};

/** Time by which the fault `delay` holds bytes back, in milliseconds: half of the goal of the urgent route. */
const delayMs = 150;

/**
 * A relay for TCP connections on the loopback, which can harm what passes through it.
 *
 * @example
 * const relay = await Relay.start({target: () => ({host: '127.0.0.1', port})});
 * relay.fault = linkFaults.silence;
 */
export class Relay {
	/** Starts to listen. */
	static async start({host = '127.0.0.1', port = 0, target}: Opts): Promise<Relay> {
		const server = net.createServer();
		const relay = new Relay(server, target);
		server.on('connection', client => {
			void relay.serve(client);
		});
		server.listen(port, host);
		await once(server, 'listening');
		return relay;
	}

	private current: LinkFault = linkFaults.none;
	private readonly sockets = new Set<Socket>();

	private constructor(
		private readonly server: net.Server,
		private readonly target: () => Target | undefined,
	) {}

	/** Port on which it listens. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Changes what it does from now on, to open connections too. */
	setFault(fault: LinkFault): void {
		this.current = fault;
		if (fault === linkFaults.reset) {
			for (const socket of this.sockets) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Closes all connections and stops. */
	async stop(): Promise<void> {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.server.close();
		await once(this.server, 'close');
	}

	/** Serves one connection until both of its sides have ended. */
	private async serve(client: Socket): Promise<void> {
		const target = this.target();
		if (!target || this.current === linkFaults.reset) {
			client.resetAndDestroy();
			return;
		}

		const server = net.connect({...target, noDelay: true});
		client.setNoDelay(true);
		for (const socket of [client, server]) {
			this.sockets.add(socket);
			// What an error means for the other side is decided when the socket closes.
			socket.on('error', () => {});
		}

		await Promise.all([
			this.pass(client, server, linkFaults.cutForth),
			this.pass(server, client, linkFaults.cutBack),
		]);
	}

	/** Passes the bytes of one direction on until its source ends. */
	private async pass(from: Socket, to: Socket, cut: LinkFault): Promise<void> {
		// Bytes that were dropped leave a gap, so the connection carries nothing any more.
		let isStranded = false;
		try {
			for await (const chunk of from) {
				if (this.current === linkFaults.delay) {
					await setTimeout(delayMs);
				}

				isStranded ||= this.current === linkFaults.silence || this.current === cut;
				if (!isStranded) {
					to.write(chunk as Buffer);
				}
			}

			if (!isStranded) {
				to.end();
			}
		} catch {
			// The source was reset, which its other side is told in the same way.
			if (!isStranded) {
				to.resetAndDestroy();
			}
		} finally {
			this.sockets.delete(from);
		}
	}
}
