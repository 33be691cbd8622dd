import {hash32} from '@medlarsaddle/core';

/** Maximum repetitions of the ID in a body: enough for some bodies to span several packets. */
const maxRepetitions = 400;

/**
 * The body of an upstream's answer to a request. It depends on the ID, so that a check detects an
 * answer of another request and a truncated one.
 *
 * @example
 * answerBodyOf('c1-7') === answer.body;
 */
export const answerBodyOf = (id: string): string =>
	`${id};`.repeat(1 + (hash32(id) % maxRepetitions));
