import type {Clock} from './clock.js';
import type {Event} from './event.js';
import type {Log} from './log.js';

type Opts = {
	readonly log: Log;
	readonly clock: Clock;
	/** Lines of one event that are written in each period. */
	readonly maxLines: number;
	readonly periodMs: number;
};

type Period = {
	lines: number;
	omitted: number;
};

/**
 * Limits a log to a number of lines of each event in a period. What is beyond is counted, and one
 * line with the field `omitted` tells the count at the end of the period.
 *
 * @example
 * const limited = limitLog({log, clock, maxLines: 20, periodMs: 1000});
 * limited(events.requestRejected, {request: id});
 */
export const limitLog = ({log, clock, maxLines, periodMs}: Opts): Log => {
	const periods = new Map<Event, Period>();
	const startPeriod = (event: Event): Period => {
		const period = {lines: 0, omitted: 0};
		periods.set(event, period);
		clock.after(periodMs, () => {
			periods.delete(event);
			if (period.omitted > 0) {
				log(event, {omitted: period.omitted});
			}
		});
		return period;
	};

	return (event, fields) => {
		const period = periods.get(event) ?? startPeriod(event);
		if (period.lines < maxLines) {
			period.lines++;
			log(event, fields);
		} else {
			period.omitted++;
		}
	};
};
