import {MessageError} from './message-error.js';
import type {messageFaults} from './message-faults.js';
import type {streamEndings} from './stream-endings.js';

type Details = {
	/** Whether bytes of the request may have reached the server. */
	readonly isSent: boolean;
	/** Whether the request was given up on this side. */
	readonly isAborted: boolean;
	/** Bytes of the response that had come. */
	readonly receivedBytes: number;
	/** How the connection ended; undefined while it was open. */
	readonly ending: (typeof streamEndings)[keyof typeof streamEndings] | undefined;
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
	readonly receivedBytes: number;
	readonly ending: Details['ending'];
	/** Why the response could not be read; undefined when there was none to read. */
	readonly kind: (typeof messageFaults)[keyof typeof messageFaults] | undefined;

	constructor(cause: unknown, {isSent, isAborted, receivedBytes, ending}: Details) {
		super(isAborted ? 'the request was given up' : String((cause as Error).message), {cause});
		this.isSent = isSent;
		this.isAborted = isAborted;
		this.receivedBytes = receivedBytes;
		this.ending = ending;
		this.kind = cause instanceof MessageError ? cause.kind : undefined;
	}
}
