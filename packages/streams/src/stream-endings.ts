/**
 * How the bytes that a reader receives have ended. Only after `finished` are they all that the peer
 * sent.
 *
 * @example
 * const isWhole = reader.ending === streamEndings.finished;
 */
export const streamEndings = {
	/** The peer ended the connection after its last byte. */
	finished: 'finished',
	/** The connection failed; bytes may be missing. */
	reset: 'reset',
	/** This process stopped reading; the peer may have sent more. */
	stopped: 'stopped',
} as const;
