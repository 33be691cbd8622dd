import {z} from 'zod';
import {policyLimits} from './policy-limits.js';

const jobName = z.string().min(1).max(policyLimits.maxJobNameLength);

const match = z.union([
	z.strictObject({exact: jobName}),
	z.strictObject({prefix: jobName}),
	z.strictObject({
		pattern: jobName.refine(
			text => text.split('*').length - 1 <= policyLimits.maxPatternStars,
			`a pattern has at most ${policyLimits.maxPatternStars} stars`,
		),
	}),
]);

const objective = z.strictObject({
	goodShare: z.number().gt(0).lt(1),
	withinMs: z.number().int().min(1),
});

const job = z.strictObject({
	match,
	rank: z.string(),
	idempotent: z.boolean().optional(),
	deadlineMs: z.number().int().min(1).max(policyLimits.maxDeadlineMs).optional(),
	retries: z.number().int().min(0).max(policyLimits.maxRetries).optional(),
	objective: objective.optional(),
});

/** Schema of a service section: the job rules of one service. */
export const serviceSection = z.strictObject({
	kind: z.literal('service'),
	service: z.string().min(1).max(128),
	spill: z.boolean().default(false),
	jobs: z.array(job).max(policyLimits.maxJobsPerService),
});
