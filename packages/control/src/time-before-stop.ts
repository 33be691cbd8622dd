import type {StopWindow} from './stop-window.js';

type Limits = {
	/** Time left until the deadline of the request, in milliseconds. */
	readonly remainingMs: number;
	/** Target response time, in milliseconds. */
	readonly goalMs?: number | undefined;
	readonly idempotent: boolean;
};

/**
 * Time that an attempt of a request may take at a process that stops, in milliseconds; undefined when
 * the process may end before the attempt, so that the request has to be refused. An upstream stops
 * work at the deadline that it is given, so a shorter one brings its answer before the end. An action
 * that was stopped halfway cannot be repeated: once callers have noticed the stop, it is only sent with
 * all of its time.
 *
 * @example
 * const stop = {untilEndMs: 800, isNoticeOver: true};
 * timeBeforeStop({remainingMs: 5000, goalMs: 300, idempotent: true}, stop); // 800
 * timeBeforeStop({remainingMs: 5000, goalMs: 300, idempotent: false}, stop); // undefined
 */
export const timeBeforeStop = (
	{remainingMs, goalMs = 0, idempotent}: Limits,
	stop: StopWindow | undefined,
): number | undefined => {
	if (!stop || remainingMs <= stop.untilEndMs) {
		return remainingMs;
	}

	const mayBeShortened = idempotent || !stop.isNoticeOver;
	return mayBeShortened && stop.untilEndMs > goalMs ? stop.untilEndMs : undefined;
};
