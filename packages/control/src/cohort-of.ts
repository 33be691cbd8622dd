import {hash32} from '@medlarsaddle/core';
import {cohortCount} from './cohort-count.js';

/**
 * Cohort of a root request, derived from its ID alone, so that every hop and every resend get the
 * same one.
 *
 * @example
 * const cohort = cohortOf(rootId);
 */
export const cohortOf = (rootId: string): number => hash32(rootId) % cohortCount;
