import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';

type Framing = {
	/** Length of the body; undefined when it is not given. */
	readonly length: number | undefined;
	readonly isChunked: boolean;
	/** Whether a `connection` header asks to close or to keep the connection; undefined without one. */
	readonly keepsAlive: boolean | undefined;
};

/**
 * Determines from the headers where the body ends and whether the connection stays open.
 *
 * @throws MessageError of kind `malformed` when two readers could disagree on the end.
 *
 * @example
 * const {length, isChunked} = framingOf(headers);
 */
export const framingOf = (headers: readonly string[]): Framing => {
	let length: number | undefined;
	let isChunked = false;
	let keepsAlive: boolean | undefined;
	for (let index = 0; index + 1 < headers.length; index += 2) {
		const name = headers[index]!;
		// Lengths tell the three names from most others without a lower-case copy.
		if (name.length !== 14 && name.length !== 17 && name.length !== 10) {
			continue;
		}

		const value = headers[index + 1]!;
		switch (name.toLowerCase()) {
			case 'content-length': {
				if (length !== undefined || !/^\d{1,15}$/v.test(value)) {
					throw malformed('the content length is malformed or given twice; send one');
				}

				length = Number(value);
				break;
			}

			case 'transfer-encoding': {
				if (isChunked || value.toLowerCase() !== 'chunked') {
					throw malformed('the transfer encoding is unknown; send the body chunked');
				}

				isChunked = true;
				break;
			}

			case 'connection': {
				if (/(?:^|,)\s*close\s*(?:,|$)/iv.test(value)) {
					keepsAlive = false;
				} else if (/(?:^|,)\s*keep-alive\s*(?:,|$)/iv.test(value)) {
					keepsAlive ??= true;
				}

				break;
			}

			default:
		}
	}

	if (isChunked && length !== undefined) {
		throw malformed('a length is given beside chunked encoding; send one of them');
	}

	return {length, isChunked, keepsAlive};
};

const malformed = (what: string): MessageError => new MessageError(messageFaults.malformed, what);
