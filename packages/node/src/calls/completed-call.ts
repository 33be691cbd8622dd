import type {Answer, CallOutcome, Refusal} from '@medlarsaddle/wire';
import type {Terms} from '@medlarsaddle/policy';

/**
 * An incoming call that has ended.
 *
 * @example
 * reply.header('medlar-root-id', completed.rootId);
 */
export type CompletedCall = {
	readonly result: Answer | Refusal;
	readonly rootId: string;
	readonly terms: Terms;
	/** Retries of the root request that are not spent. */
	readonly unspent: number;
	readonly outcome: CallOutcome;
	readonly cohort: number;
	readonly elapsedMs: number;
};
