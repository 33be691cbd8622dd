/**
 * A request to send.
 *
 * @example
 * const req: OutgoingRequest = {method: 'GET', path: '/', headers: [], body: new Uint8Array()};
 */
export type OutgoingRequest = {
	readonly method: string;
	readonly path: string;
	/** Names and values, alternating. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
