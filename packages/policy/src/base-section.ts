import {z} from 'zod';
import {policyLimits} from './policy-limits.js';

const rank = z.strictObject({
	name: z.string().min(1).max(64),
	floorShare: z.number().min(0).max(0.5).default(0),
	rankHint: z.boolean().default(false),
});

/**
 * Schema of the section `base`: the ranks, most urgent first, and the defaults for unmatched jobs.
 */
export const baseSection = z.strictObject({
	kind: z.literal('base'),
	ranks: z.array(rank).min(1).max(policyLimits.maxRanks),
	defaults: z.strictObject({
		rank: z.string(),
		idempotent: z.boolean().default(false),
		deadlineMs: z.number().int().min(1).max(policyLimits.maxDeadlineMs).default(2000),
		retries: z.number().int().min(0).max(policyLimits.maxRetries).default(0),
	}),
});
