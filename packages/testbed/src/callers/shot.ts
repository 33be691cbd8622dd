import type {requestOutcomes} from './request-outcomes.js';

/**
 * One root request that a caller sent, with how it ended.
 *
 * @example
 * const good = shots.filter(({outcome}) => outcome === 'good');
 */
export type Shot = {
	readonly id: string;
	readonly job: string;
	readonly rank: string;
	readonly service: string;
	readonly keyed: boolean;
	/** When it should have been sent, in milliseconds from the start of the load. */
	readonly dueMs: number;
	readonly tookMs: number;
	readonly tries: number;
	readonly outcome: (typeof requestOutcomes)[keyof typeof requestOutcomes];
	/** Whether every try ended with "not-run". */
	readonly saidNotRun: boolean;
	readonly fault?: string;
};
