import {z} from 'zod';

/**
 * What an upstream says of itself when it announces itself to the node on its host.
 *
 * @example
 * announcement.safeParse({service: 'payment', port: 9000, slots: 80, connections: 600});
 */
export const announcement = z.strictObject({
	service: z.string().min(1).max(128),
	/** IP number of the upstream; that of its node when it is not given. */
	host: z.ipv4().optional(),
	port: z.number().int().min(1).max(65_535),
	slots: z.number().int().min(1).max(10_000).default(16),
	connections: z.number().int().min(1).max(10_000).default(128),
	healthPath: z.string().startsWith('/').default('/health'),
	/** Changes with each start of the upstream's process. */
	instance: z.string().min(1).max(100).default('1'),
	draining: z.boolean().default(false),
});
