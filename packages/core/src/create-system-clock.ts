import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from './clock.js';

/**
 * Creates a clock that reads the system time and uses real timers.
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
