/**
 * A response to send or as it was received, with its whole body.
 *
 * @example
 * const res: HttpResponse = {status: 204, headers: [], body: new Uint8Array()};
 */
export type HttpResponse = {
	readonly status: number;
	/** Names and values, alternating. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
};
