/**
 * A request that came in to be routed by host and path, read but not yet decided on.
 *
 * @example
 * const outcome = await forwarder.forward(arrival, signal);
 */
export type Arrival = {
	/** ID that the caller gave this try of its request. */
	readonly id: string;
	readonly host: string;
	readonly method: string;
	/** Path and query, unchanged. */
	readonly target: string;
	/** Headers to pass on, names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Milliseconds that the caller still waits; undefined when it did not say. */
	readonly remainingMs?: number;
};
