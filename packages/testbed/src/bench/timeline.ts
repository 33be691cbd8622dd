/** Times of an overload run, in milliseconds from the start of the load. */
export const timeline = {
	beforeFromMs: 2000,
	triggerFromMs: 5000,
	triggerToMs: 10_000,
	endMs: 16_000,
} as const;
