import type {ByteBudget} from '@medlarsaddle/control';
import type {Clock} from '@medlarsaddle/core';

/**
 * What a connection to a server needs.
 *
 * @example
 * const opts: ConnectionOpts = {origin: 'http://10.1.0.8:80', clock, maxBodyBytes: 1e6, connectTimeoutMs: 300};
 */
export type ConnectionOpts = {
	/** URL of the server, without a path. */
	readonly origin: string;
	readonly clock: Clock;
	/** Largest body of a response. */
	readonly maxBodyBytes: number;
	readonly connectTimeoutMs: number;
	/** What the bodies of responses may hold together while they are read; unlimited by default. */
	readonly budget?: ByteBudget | undefined;
};
