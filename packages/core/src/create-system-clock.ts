import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from './clock.js';

/**
 * Creates the clock of the running process.
 *
 * @example
 * const clock = createSystemClock();
 */
export const createSystemClock = (): Clock => ({
	now: () => Date.now(),
	monotonic: () => performance.now(),
	async sleep(ms, signal) {
		await delay(ms, undefined, {signal});
	},
	after(ms, callback) {
		const timer = setTimeout(callback, ms);
		return () => {
			clearTimeout(timer);
		};
	},
});
