/** When a supervisor restarts a child that has ended. */
export const restartPolicies = {
	/** After a failure and after a normal return. */
	always: 'always',
	/** After a failure only; a normal return ends the child. */
	onFailure: 'on-failure',
	/** Never; a failure is logged and the child is removed. */
	never: 'never',
} as const;
