import {z} from 'zod';

const name = z.string().min(1).max(256);

const target = z.object({
	service: name,
	/** Share of the requests, relative to the weights of the other targets. */
	weight: z.number().min(0),
});

/**
 * Schema of one route of the section `routes`.
 *
 * @example
 * const isUsable = routeSchema.safeParse(route).success;
 */
export const routeSchema = z.object({
	name,
	/** Host name of the requests, in lower case and without a port. */
	host: name,
	/** Prefix of the request paths; it starts and ends with a slash. */
	pathPrefix: z.string().startsWith('/').endsWith('/'),
	targets: z.array(target).min(1),
	/** Index of the rank; 0 is the most urgent. */
	rank: z.number().int().min(0),
	idempotent: z.boolean(),
	/** Maximum time that a caller waits for a response, in milliseconds. */
	timeoutMs: z.number().min(1),
	/** Target latency in milliseconds; an answer within it has its full value. */
	goalMs: z.number().min(0),
	/** Maximum number of endpoints that one request may be sent to. */
	attempts: z.number().int().min(1),
});
