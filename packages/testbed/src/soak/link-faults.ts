/** What a relay does to the connections that pass through it. */
export const linkFaults = {
	none: 'none',
	/** Bytes arrive later, in order. */
	delay: 'delay',
	/** Open connections are reset, and new ones at once. */
	reset: 'reset',
	/** Nothing passes and nobody is told. */
	silence: 'silence',
	/** Bytes towards the server do not arrive; its own do. */
	cutForth: 'cut-forth',
	/** Bytes of the server do not arrive; those towards it do. */
	cutBack: 'cut-back',
} as const;
