/**
 * Identity with which a process issues and verifies keys. Any process that holds it may start those
 * keys, so a ledger hands it over only after it has closed permanently.
 *
 * @example
 * const issuer: IssuerIdentity = {node: 'dc1-a', incarnation: 17, secret};
 */
export type IssuerIdentity = {
	readonly node: string;
	readonly incarnation: number;
	readonly secret: string;
};
