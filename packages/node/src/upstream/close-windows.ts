import {type Clock, alignedDelayMs} from '@medlarsaddle/core';
import type {Task} from '@medlarsaddle/supervise';
import type {Slot} from './slot.js';

const windowMs = 100;

/**
 * Task that ends the control windows of the admission.
 *
 * @example
 * const task = closeWindows({clock, slot});
 */
export const closeWindows =
	({clock, slot}: {readonly clock: Clock; readonly slot: Slot}): Task =>
	async (signal, ready) => {
		ready();
		while (!signal.aborted) {
			await clock.sleep(alignedDelayMs(clock.monotonic(), windowMs), signal);
			slot.closeWindow();
		}
	};
