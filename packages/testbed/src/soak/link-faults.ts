/** Faults that a relay applies to the connections through it. */
export const linkFaults = {
	none: 'none',
	/** Bytes are delayed and stay in order. */
	delay: 'delay',
	/** Open connections are reset, and new ones as soon as they are accepted. */
	reset: 'reset',
	/** Bytes of both directions are dropped without an error on either side. */
	silence: 'silence',
	/** Bytes to the server are dropped; bytes from it pass. */
	dropToServer: 'cut-forth',
	/** Bytes from the server are dropped; bytes to it pass. */
	dropFromServer: 'cut-back',
} as const;
