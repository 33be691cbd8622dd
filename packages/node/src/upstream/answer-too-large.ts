/**
 * Thrown by an answer reader when the answer is larger than may be passed on.
 *
 * @example
 * const isTooLarge = error instanceof AnswerTooLarge;
 */
export class AnswerTooLarge extends Error {
	override name = 'AnswerTooLarge';
}
