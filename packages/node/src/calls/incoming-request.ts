/**
 * A request that has been read and is to be routed by host and path.
 *
 * @example
 * const forwarded = await forwarder.forward(incoming, signal);
 */
export type IncomingRequest = {
	/** ID that the caller gave this attempt of its request. */
	readonly id: string;
	readonly host: string;
	readonly method: string;
	/** Path and query, unchanged. */
	readonly target: string;
	/** Headers to forward, as alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** How long the caller still waits, in milliseconds; undefined when it sent no deadline. */
	readonly remainingMs?: number;
};
