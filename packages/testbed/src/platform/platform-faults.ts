import {z} from 'zod';

/**
 * Faults that the platform stand-in can be told to show.
 *
 * @example
 * platform.setFaults({isDown: true});
 */
export const platformFaults = z.strictObject({
	/** Refuses every call. */
	isDown: z.boolean().default(false),
	/** Takes calls and never answers them. */
	isSilent: z.boolean().default(false),
	/** Resets the connection of each call. */
	resets: z.boolean().default(false),
	/** Refuses this many calls as beyond the rate. */
	refusals: z.number().int().min(0).default(0),
	/** Waits this long before it answers, in milliseconds. */
	delayMs: z.number().min(0).default(0),
	/** Applies this many writes and then drops their answers. */
	loseAnswers: z.number().int().min(0).default(0),
	/** Answers this many reads with the state before the last write. */
	staleReads: z.number().int().min(0).default(0),
});
