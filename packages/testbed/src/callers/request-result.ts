import type {requestOutcomes} from './request-outcomes.js';

/**
 * Result of one root request that a caller sent.
 *
 * @example
 * const good = results.filter(({outcome}) => outcome === 'good');
 */
export type RequestResult = {
	readonly id: string;
	readonly job: string;
	readonly rank: string;
	readonly service: string;
	readonly isKeyed: boolean;
	/** Scheduled send time, in milliseconds since the start of the load. */
	readonly dueMs: number;
	readonly tookMs: number;
	readonly attempts: number;
	readonly outcome: (typeof requestOutcomes)[keyof typeof requestOutcomes];
	/** Whether every attempt was answered with "not-run". */
	readonly isReportedNotRun: boolean;
	readonly fault?: string;
};
