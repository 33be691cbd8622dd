import {type Clock, type Log, events, alignedDelayMs} from '@medlarsaddle/core';
import type {Gossip} from '@medlarsaddle/members';
import type {Task} from '@medlarsaddle/supervise';
import type {Lifecycle} from './lifecycle.js';

type Deps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly lifecycle: Lifecycle;
	readonly gossip: Gossip;
};

const beatPeriodMs = 250;
const rejoinMs = 300;

/**
 * Task that notices when the process was paused, and rejoins before new work is taken.
 *
 * @example
 * const task = keepLease(deps);
 */
export const keepLease =
	({clock, log, lifecycle, gossip}: Deps): Task =>
	async (signal, ready) => {
		ready();
		while (!signal.aborted) {
			lifecycle.beat();
			if (lifecycle.lapsed) {
				log(events.leaseExpired);
				gossip.rejoin();
				// What piled up in the sockets during the pause is refused in this time.
				await clock.sleep(rejoinMs, signal);
				lifecycle.rejoined();
			}

			await clock.sleep(alignedDelayMs(clock.monotonic(), beatPeriodMs), signal);
		}
	};
