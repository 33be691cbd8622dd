import type {messageFaults} from './message-faults.js';

type Kind = (typeof messageFaults)[keyof typeof messageFaults];

/**
 * A message that cannot be read. The bytes after it cannot be interpreted either, so its connection
 * must be closed.
 *
 * @example
 * if (error instanceof MessageError && error.kind === messageFaults.tooLarge) {
 * 	refuse();
 * }
 */
export class MessageError extends Error {
	override readonly name = 'MessageError';

	constructor(
		readonly kind: Kind,
		message: string,
		/** Headers of the message, when its head was read before the error. */
		readonly headers?: readonly string[],
	) {
		super(message);
	}
}
