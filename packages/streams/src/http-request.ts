/**
 * A request as it was received, with its whole body.
 *
 * @example
 * const {method, target} = await readRequest(reader, limits);
 */
export type HttpRequest = {
	readonly method: string;
	readonly target: string;
	/** Names as sent and values, alternating. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Whether the sender wants to use the connection again. */
	readonly keepsAlive: boolean;
};
