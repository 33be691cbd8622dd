import type {Clock} from '@medlarsaddle/core';
import type {Task} from '@medlarsaddle/supervise';
import type {UpstreamProxy} from './upstream-proxy.js';

const probePeriodMs = 1000;

/**
 * Creates the task that probes the upstream while it is announced.
 *
 * @example
 * const task = probeUpstream({clock, upstream});
 */
export const probeUpstream =
	({clock, upstream}: {readonly clock: Clock; readonly upstream: UpstreamProxy}): Task =>
	async (signal, ready) => {
		ready();
		while (!signal.aborted) {
			await clock.sleep(probePeriodMs, signal);
			await upstream.probe();
		}
	};
