import {z} from 'zod';
import {policyLimits} from './policy-limits.js';

const name = z.string().min(1).max(256);

const target = z.object({
	service: name,
	/** Share of the requests, against the weights of the other targets. */
	weight: z.number().min(0),
});

const route = z.object({
	name,
	/** Host name that requests give, in lower case and without a port. */
	host: name,
	/** Beginning of the paths; it begins and ends with a slash. */
	pathPrefix: z.string().startsWith('/').endsWith('/'),
	targets: z.array(target).min(1),
	/** Position in the order of urgency; 0 is the most urgent. */
	rank: z.number().int().min(0),
	idempotent: z.boolean(),
	/** Longest time that a caller is kept waiting, in milliseconds. */
	timeoutMs: z.number().min(1),
	/** Time within which an answer is worth most, in milliseconds. */
	goalMs: z.number().min(0),
	/** Most endpoints that one request may be sent to. */
	attempts: z.number().int().min(1),
});

const service = z.object({
	name,
	healthPath: z.string().startsWith('/'),
	/** Most connections that one endpoint accepts from all callers. */
	maxConnections: z.number().int().min(1),
});

/** Schema of the section that routes requests by host and path, and names the services' bounds. */
export const routesSection = z.object({
	kind: z.literal('routes'),
	routes: z.array(route).max(policyLimits.maxRoutes),
	services: z.array(service),
	/** What a caller may send, and how long it may take or stay idle. */
	callerLimits: z.object({
		maxHeaderBytes: z.number().int().min(1),
		maxBodyBytes: z.number().int().min(0),
		headerTimeoutMs: z.number().min(1),
		idleTimeoutMs: z.number().min(1),
	}),
});
