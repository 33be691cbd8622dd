/**
 * What makes a process the issuer of its keys. Whoever has it may start them, so it is given away
 * only by a ledger that has closed for good.
 *
 * @example
 * const estate: Estate = {node: 'dc1-a', incarnation: 17, secret};
 */
export type Estate = {
	readonly node: string;
	readonly incarnation: number;
	readonly secret: string;
};
