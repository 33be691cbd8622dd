import type {Terms} from './terms.js';
import type {matchKinds} from './match-kinds.js';

/**
 * A compiled job rule: a predicate on job names, and the terms of the jobs that match.
 *
 * @example
 * const found = rules.find(rule => rule.matches(job));
 */
export type JobRule = {
	readonly matchKind: (typeof matchKinds)[keyof typeof matchKinds];
	/** Number of literal characters; a rule with more of them is more specific. */
	readonly literalLength: number;
	readonly terms: Terms;
	matches(job: string): boolean;
};
