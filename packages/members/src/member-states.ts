/**
 * States of a member. Of two records of the same version, the one with the later state overrides.
 */
export const memberStates = {
	alive: 'alive',
	suspect: 'suspect',
	dead: 'dead',
	left: 'left',
} as const;
