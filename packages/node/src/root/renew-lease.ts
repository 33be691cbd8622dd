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

const heartbeatPeriodMs = 250;
const rejoinDelayMs = 300;

/**
 * Task that detects that the process was paused, and rejoins before new work is accepted.
 *
 * @example
 * const task = renewLease(deps);
 */
export const renewLease =
	({clock, log, lifecycle, gossip}: Deps): Task =>
	async (signal, ready) => {
		ready();
		while (!signal.aborted) {
			lifecycle.recordHeartbeat();
			if (lifecycle.isLeaseExpired) {
				log(events.leaseExpired);
				gossip.rejoin();
				// Messages that arrived during the pause are read and refused in this time.
				await clock.sleep(rejoinDelayMs, signal);
				lifecycle.completeRejoin();
			}

			await clock.sleep(alignedDelayMs(clock.monotonic(), heartbeatPeriodMs), signal);
		}
	};
