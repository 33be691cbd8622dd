/**
 * Destination of datagrams.
 *
 * @example
 * const seed: Address = {host: '127.0.0.1', port: 7001};
 */
export type Address = {
	readonly host: string;
	readonly port: number;
};
