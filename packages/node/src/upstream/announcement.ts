import {z} from 'zod';

/**
 * Schema of the announcement that an upstream sends to the node on its host.
 *
 * @example
 * announcement.safeParse({service: 'payment', port: 9000, slots: 80, connections: 600});
 */
export const announcement = z.strictObject({
	service: z.string().min(1).max(128),
	/** IPv4 address of the upstream; defaults to that of its node. */
	host: z.ipv4().optional(),
	port: z.number().int().min(1).max(65_535),
	slots: z.number().int().min(1).max(10_000).default(16),
	connections: z.number().int().min(1).max(10_000).default(128),
	healthPath: z.string().startsWith('/').default('/health'),
	/** ID of the upstream's process, which changes with each start. */
	instance: z.string().min(1).max(100).default('1'),
	draining: z.boolean().default(false),
});
