import {z} from 'zod';

const step = z.strictObject({
	service: z.string(),
	job: z.string(),
	ms: z.number().optional(),
});

/**
 * Body of a request to a simulated upstream: its work and the services to call next.
 *
 * @example
 * const body = JSON.stringify({id: 'r1', chain: [{service: 'payment', job: 'PAY'}]});
 */
export const workRequest = z.strictObject({
	id: z.string(),
	/** Service time, in milliseconds; by default that of the upstream. */
	ms: z.number().optional(),
	/** Subsequent calls; each is made by the upstream of the preceding step. */
	chain: z.array(step).default([]),
	/** Crashes the upstream. */
	poison: z.boolean().default(false),
});
