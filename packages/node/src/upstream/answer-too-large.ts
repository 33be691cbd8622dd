/**
 * Error of an answer that is larger than the configured limit.
 *
 * @example
 * const isTooLarge = error instanceof AnswerTooLarge;
 */
export class AnswerTooLarge extends Error {
	override name = 'AnswerTooLarge';
}
