import type {UpstreamRun} from './upstream-run.js';
import type {SentRequest} from './sent-request.js';

type TimeSpan = {readonly fromMs: number; readonly toMs: number};

/**
 * What callers and upstreams recorded during a soak, and the operations and faults applied to it.
 *
 * @example
 * const violations = findViolations(record);
 */
export type SoakRecord = {
	readonly sent: readonly SentRequest[];
	readonly runs: readonly UpstreamRun[];
	/** Upstreams whose draining state a node confirmed, with the time of the confirmation. */
	readonly drains: ReadonlyArray<{readonly instance: string; readonly confirmedMs: number}>;
	/** Planned stops of nodes; `life` is the number of the daemon process on its host. */
	readonly stops: ReadonlyArray<{
		readonly host: string;
		readonly life: number;
		readonly atMs: number;
	}>;
	/** Time spans of the steps that may interrupt requests, on any host. */
	readonly harm: readonly TimeSpan[];
	/** Time spans of the steps that may leave the callers of a host without an answer. */
	readonly stalls: ReadonlyArray<TimeSpan & {readonly host: string}>;
	/** Configuration versions by the route prefix that each of them added. */
	readonly versions: ReadonlyMap<string, number>;
};
