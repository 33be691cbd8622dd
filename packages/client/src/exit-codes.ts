/** Exit codes of the client, as docs/OPERATORS.md lists them. */
export const exitCodes = {
	ok: 0,
	failed: 1,
	usage: 2,
	rejected: 3,
	conflict: 4,
	unavailable: 5,
	needsAcceptance: 6,
} as const;
