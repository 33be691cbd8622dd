/** What the receiver of a call message has to do with the call. */
export const callModes = {
	/** Admit the call and run it on the receiver's upstream. */
	run: 'run',
	/** Execute the call as the owner of its idempotency key, which the receiver issued. */
	own: 'own',
	/** Route the call, sent from another data centre, to an endpoint in the receiver's one. */
	spill: 'spill',
} as const;
