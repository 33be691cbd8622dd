import {z} from 'zod';

/**
 * Faults that can be injected into the simulated platform.
 *
 * @example
 * platform.setFaults({isDown: true});
 */
export const platformFaults = z.strictObject({
	/** Answers every call with status 503. */
	isDown: z.boolean().default(false),
	/** Accepts calls and never answers them. */
	isSilent: z.boolean().default(false),
	/** Resets the connection of each call. */
	resets: z.boolean().default(false),
	/** Answers this many calls with status 429. */
	refusals: z.number().int().min(0).default(0),
	/** Delay of each answer, in milliseconds. */
	delayMs: z.number().min(0).default(0),
	/** Applies this many writes and drops their answers. */
	loseAnswers: z.number().int().min(0).default(0),
	/** Answers this many reads with the state before the last write. */
	staleReads: z.number().int().min(0).default(0),
});
