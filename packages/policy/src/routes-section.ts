import {z} from 'zod';
import {policyLimits} from './policy-limits.js';
import {routeSchema} from './route-schema.js';

const service = z.object({
	name: routeSchema.shape.name,
	healthPath: z.string().startsWith('/'),
	/** Maximum number of connections that one endpoint accepts from all callers. */
	maxConnections: z.number().int().min(1),
});

/** Schema of the section `routes`: routes by host and path, and limits for services and callers. */
export const routesSection = z.object({
	kind: z.literal('routes'),
	routes: z.array(routeSchema).max(policyLimits.maxRoutes),
	/** Hosts, in lower case, with a route that could not be read and is not listed. */
	incompleteHosts: z.array(z.string()).optional(),
	services: z.array(service),
	/** Limits on the size of requests, on the time to receive headers and on idle connections. */
	callerLimits: z.object({
		maxHeaderBytes: z.number().int().min(1),
		maxBodyBytes: z.number().int().min(0),
		headerTimeoutMs: z.number().min(1),
		idleTimeoutMs: z.number().min(1),
	}),
});
