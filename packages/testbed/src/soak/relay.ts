import {once} from 'node:events';
import {setTimeout} from 'node:timers/promises';
import net, {type AddressInfo, type Socket} from 'node:net';
import {linkFaults} from './link-faults.js';

type LinkFault = (typeof linkFaults)[keyof typeof linkFaults];

type Target = {readonly host: string; readonly port: number};

type Opts = {
	/** Address to listen on; a free port of 127.0.0.1 by default. */
	readonly host?: string;
	readonly port?: number;
	/** Called for each connection, since a restarted process listens on other ports. */
	readonly target: () => Target | undefined;
};

/** Delay of the fault `delay`, in milliseconds: half of the latency goal of the urgent route. */
const delayMs = 150;

/**
 * A TCP relay on loopback that can inject faults into the connections through it.
 *
 * @example
 * const relay = await Relay.start({target: () => ({host: '127.0.0.1', port})});
 * relay.setFault(linkFaults.silence);
 */
export class Relay {
	/** Starts a relay that listens on its port. */
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

	private currentFault: LinkFault = linkFaults.none;
	private readonly sockets = new Set<Socket>();
	private readonly resetSockets = new WeakSet<Socket>();
	private readonly silentSockets = new WeakSet<Socket>();

	private constructor(
		private readonly server: net.Server,
		private readonly target: () => Target | undefined,
	) {}

	/** Port that the relay listens on. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Sets the fault for open and new connections. */
	setFault(fault: LinkFault): void {
		this.currentFault = fault;
		if (fault === linkFaults.reset) {
			for (const socket of this.sockets) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Drops all further bytes of the connections that are open now, while new ones work. */
	silenceOpen(): void {
		for (const socket of this.sockets) {
			this.silentSockets.add(socket);
		}
	}

	/** Closes all connections and stops listening. */
	async stop(): Promise<void> {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.server.close();
		await once(this.server, 'close');
	}

	/** Serves one connection until both of its directions have ended. */
	private async serve(client: Socket): Promise<void> {
		const target = this.target();
		if (!target || this.currentFault === linkFaults.reset) {
			client.resetAndDestroy();
			return;
		}

		const server = net.connect({...target, noDelay: true});
		client.setNoDelay(true);
		for (const socket of [client, server]) {
			this.sockets.add(socket);
			socket.on('error', () => {
				this.resetSockets.add(socket);
			});
			// A reset right after data is reported as an end, but leaves no remote address.
			socket.on('end', () => {
				if (socket.remoteAddress === undefined) {
					this.resetSockets.add(socket);
				}
			});
		}

		await Promise.all([
			this.forward(client, server, linkFaults.dropToServer),
			this.forward(server, client, linkFaults.dropFromServer),
		]);
	}

	/** Forwards the bytes of one direction until the source ends. */
	private async forward(from: Socket, to: Socket, dropFault: LinkFault): Promise<void> {
		// Dropped bytes leave a gap in the stream, so nothing after them may be forwarded.
		let hasDroppedBytes = false;
		try {
			for await (const chunk of from) {
				if (this.currentFault === linkFaults.delay) {
					await setTimeout(delayMs);
				}

				hasDroppedBytes ||=
					this.silentSockets.has(from) ||
					this.currentFault === linkFaults.silence ||
					this.currentFault === dropFault;
				if (!hasDroppedBytes) {
					to.write(chunk as Buffer);
				}
			}
		} catch {
			this.resetSockets.add(from);
		} finally {
			this.sockets.delete(from);
		}

		if (!hasDroppedBytes) {
			if (this.resetSockets.has(from)) {
				to.resetAndDestroy();
			} else {
				to.end();
			}
		}
	}
}
