import {type Socket, connect} from 'node:net';
import {once} from 'node:events';

/**
 * A client that sends bytes of its own making and keeps its connection open. It drops what comes back,
 * unless it is told not to read.
 *
 * @example
 * const client = await CrowdClient.open(port);
 * await client.send(head, body.subarray(0, -1));
 */
export class CrowdClient {
	/** Connects to a port on loopback; a connection that is refused counts as closed. */
	static async open(port: number, {isReading = true} = {}): Promise<CrowdClient> {
		const socket = connect({host: '127.0.0.1', port});
		socket.on('error', () => {
			// The node may close the connection of such a client.
		});
		if (isReading) {
			socket.resume();
		}

		await Promise.race([once(socket, 'connect'), once(socket, 'close')]).catch(() => {});
		return new CrowdClient(socket);
	}

	private constructor(private readonly socket: Socket) {}

	/** Sends pieces one after the other until the connection is closed or takes no more for a while. */
	async send(...pieces: readonly Uint8Array[]): Promise<void> {
		for (const piece of pieces) {
			if (this.socket.destroyed) {
				return;
			}

			if (!this.socket.write(piece)) {
				await this.drained();
			}
		}
	}

	/** Closes the connection. */
	close(): void {
		this.socket.destroy();
	}

	/** Resolves when the socket takes more, is closed, or has taken nothing for a while. */
	private async drained(): Promise<void> {
		const {socket} = this;
		await new Promise<void>(resolve => {
			const settle = () => {
				clearTimeout(timer);
				socket.off('drain', settle);
				socket.off('close', settle);
				resolve();
			};

			const timer = setTimeout(settle, patienceMs);
			socket.once('drain', settle);
			socket.once('close', settle);
		});
	}
}

const patienceMs = 2000;
