import {once} from 'node:events';
import {type Server, type Socket} from 'node:net';
import {type Supervisor, type Task, restartPolicies} from '@medlarsaddle/supervise';

type Deps = {
	readonly server: Server;
	/** Supervises the task of each connection. */
	readonly supervisor: Supervisor;
	readonly serve: (socket: Socket) => Task;
};

/**
 * Task that accepts connections of other nodes and starts a task for each.
 *
 * @example
 * const task = acceptConnections({server, supervisor, serve});
 */
export const acceptConnections =
	({server, supervisor, serve}: Deps): Task =>
	async (signal, ready) => {
		let count = 0;
		const accept = (socket: Socket) => {
			count++;
			void supervisor.start({
				name: `connection ${count}`,
				restart: restartPolicies.never,
				task: serve(socket),
			});
		};

		server.on('connection', accept);
		ready();
		if (!signal.aborted) {
			await once(signal, 'abort');
		}

		server.off('connection', accept);
		server.close();
	};
