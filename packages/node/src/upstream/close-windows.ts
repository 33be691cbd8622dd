import {type Clock, alignedDelayMs} from '@medlarsaddle/core';
import type {Task} from '@medlarsaddle/supervise';
import type {UpstreamProxy} from './upstream-proxy.js';

const windowMs = 100;

/**
 * Creates the task that closes the control windows of admission.
 *
 * @example
 * const task = closeWindows({clock, upstream});
 */
export const closeWindows =
	({clock, upstream}: {readonly clock: Clock; readonly upstream: UpstreamProxy}): Task =>
	async (signal, ready) => {
		ready();
		while (!signal.aborted) {
			await clock.sleep(alignedDelayMs(clock.monotonic(), windowMs), signal);
			upstream.closeWindow();
		}
	};
