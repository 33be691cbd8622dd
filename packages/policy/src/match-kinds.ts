/** Ways in which a rule matches job names, from the most specific to the least. */
export const matchKinds = {
	exact: 'exact',
	prefix: 'prefix',
	pattern: 'pattern',
} as const;
