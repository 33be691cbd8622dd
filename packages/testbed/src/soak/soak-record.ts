import type {Run} from './run.js';
import type {Sent} from './sent.js';

type Span = {readonly fromMs: number; readonly toMs: number};

/**
 * What callers and upstreams saw during a soak, with what was done to the system.
 *
 * @example
 * const broken = brokenPromises(record);
 */
export type SoakRecord = {
	readonly sent: readonly Sent[];
	readonly runs: readonly Run[];
	/** When a node confirmed that an upstream leaves. */
	readonly drains: ReadonlyArray<{readonly instance: string; readonly confirmedMs: number}>;
	/** Planned stops of nodes. */
	readonly stops: ReadonlyArray<{
		readonly host: string;
		readonly life: number;
		readonly atMs: number;
	}>;
	/** When anything was harmed, anywhere. */
	readonly harm: readonly Span[];
	/** Versions of the configuration by the prefix that each one added. */
	readonly versions: ReadonlyMap<string, number>;
};
