import {hash32} from '@medlarsaddle/core';

/** Most times that an answer repeats its ID: enough for some answers to take several packets. */
const maxRepeats = 400;

/**
 * The body that an upstream answers a request with, which tells one answer from another and a whole
 * one from one that was cut short.
 *
 * @example
 * bodyOf('c1-7') === answer.body;
 */
export const bodyOf = (id: string): string => `${id};`.repeat(1 + (hash32(id) % maxRepeats));
