import {MessageError} from './message-error.js';
import type {messageFaults} from './message-faults.js';

type Details = {
	/** Whether bytes of the request may have reached the server. */
	readonly isSent: boolean;
	/** Whether the request was given up on this side. */
	readonly isAborted: boolean;
};

/**
 * A request without a response. Its connection is closed.
 *
 * @example
 * if (error instanceof ConnectionError && !error.isSent) {
 * 	sendElsewhere();
 * }
 */
export class ConnectionError extends Error {
	override readonly name = 'ConnectionError';
	readonly isSent: boolean;
	readonly isAborted: boolean;
	/** Why the response could not be read; undefined when there was none to read. */
	readonly kind: (typeof messageFaults)[keyof typeof messageFaults] | undefined;

	constructor(cause: unknown, {isSent, isAborted}: Details) {
		super(isAborted ? 'the request was given up' : String((cause as Error).message), {cause});
		this.isSent = isSent;
		this.isAborted = isAborted;
		this.kind = cause instanceof MessageError ? cause.kind : undefined;
	}
}
