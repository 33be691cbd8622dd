/**
 * Name of an issuing process, used by members to announce whose keys they have taken over.
 *
 * @example
 * member.inherits.includes(issuerName('dc1-a', 17));
 */
export const issuerName = (node: string, incarnation: number): string =>
	`${node}#${incarnation.toString(36)}`;
