import loglevel from 'loglevel';
import type {Clock} from './clock.js';
import type {Log} from './log.js';

type Opts = {
	readonly clock: Clock;
	readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
	readonly write: (line: string) => void;
	readonly base: Readonly<Record<string, unknown>>;
};

/**
 * Creates a log that writes one JSON object per line: level, time, event code and text, followed by
 * the fields of `base` and those of the call.
 *
 * @example
 * const write = (line: string) => process.stdout.write(line);
 * const log = createLog({clock, level: 'info', write, base: {node}});
 */
export const createLog = ({clock, level, write, base}: Opts): Log => {
	const logger = loglevel.getLogger(Symbol('medlarsaddle'));
	logger.methodFactory = methodName => (line: unknown) => {
		write(`${JSON.stringify({level: methodName, ...(line as Record<string, unknown>)})}\n`);
	};

	logger.setLevel(level, false);
	return (event, fields) => {
		logger[event.level]({
			time: new Date(clock.now()).toISOString(),
			event: event.code,
			text: event.text,
			...base,
			...fields,
		});
	};
};
