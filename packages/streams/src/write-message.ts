import type {Writable} from 'node:stream';
import {formatMessage} from './format-message.js';

/** Bodies from this size on are written as they are; below it, one write costs less than the copy. */
const minSeparateBytes = 64 * 1024;

/**
 * Writes a message whose large body is not copied; it must not change until it is sent. Returns whether
 * the stream takes more before it has drained.
 *
 * @example
 * writeMessage(socket, 'PUT /a HTTP/1.1', ['content-length', String(body.length)], body);
 */
export const writeMessage = (
	stream: Writable,
	firstLine: string,
	headers: readonly string[],
	body: Uint8Array,
): boolean => {
	if (body.length < minSeparateBytes) {
		return stream.write(formatMessage(firstLine, headers, body));
	}

	stream.cork();
	stream.write(formatMessage(firstLine, headers, noBody));
	const takesMore = stream.write(body);
	stream.uncork();
	return takesMore;
};

const noBody = new Uint8Array();
