import {z} from 'zod';

/**
 * Faults that can be injected into a simulated upstream.
 *
 * @example
 * upstream.setFaults({slowFactor: 10});
 */
export const upstreamFaults = z.strictObject({
	/** Multiplies the service time of each request. */
	slowFactor: z.number().min(0).default(1),
	/** Stops answering on the connections that are open now; new ones work. */
	silencesConnections: z.boolean().default(false),
	/** Answers this share of requests with status 500. */
	failShare: z.number().min(0).max(1).default(0),
	/** Crashes on a request whose body sets `poison`. */
	crashesOnPoison: z.boolean().default(true),
	/** Truncates this share of answers. */
	truncateShare: z.number().min(0).max(1).default(0),
	/** The health endpoint answers even when the upstream is frozen. */
	healthLies: z.boolean().default(false),
	/** The health endpoint answers with status 503. */
	healthFails: z.boolean().default(false),
	/** Accepts requests and answers none of them. */
	isFrozen: z.boolean().default(false),
	/** Number of slots to announce instead of the real one; 0 announces the real one. */
	reportedSlots: z.number().int().min(0).default(0),
	/** Announces itself as draining. */
	isDraining: z.boolean().default(false),
});
