/** States of an idempotency key in the ledger that issued it. */
export const keyStates = {
	/** Never started, so starting it now is safe. */
	unused: 'unused',
	/** Started; its outcome is pending. */
	running: 'running',
	/** Completed; the whole answer is stored. */
	done: 'done',
	/** Started, or possibly so, and its outcome is lost. */
	unknown: 'unknown',
} as const;
