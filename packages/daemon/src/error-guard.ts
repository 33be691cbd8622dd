import {type Clock, type Log, errorText, events} from '@medlarsaddle/core';

type Deps = {
	readonly clock: Clock;
	readonly log: Log;
	/** Called when errors come too often for the node to be of use. */
	readonly giveUp: () => void;
};

const maxErrors = 20;
const windowMs = 10_000;

/**
 * Creates the handler of errors that no task handles. One of them, such as in a callback of a single
 * connection, does not end the process with all the requests that it serves; a series of them does.
 *
 * @example
 * process.on('uncaughtException', createErrorGuard({clock, log, giveUp}));
 */
export const createErrorGuard = ({clock, log, giveUp}: Deps): ((error: unknown) => void) => {
	let recentMs: number[] = [];
	return error => {
		const nowMs = clock.monotonic();
		recentMs = [...recentMs.filter(ms => ms > nowMs - windowMs), nowMs];
		const stack = error instanceof Error ? error.stack : undefined;
		log(events.unexpectedError, {error: errorText(error), stack});
		if (recentMs.length > maxErrors) {
			giveUp();
		}
	};
};
