import type {ByteReader} from './byte-reader.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';

const maxLineBytes = 1024;
const maxTrailerBytes = 64 * 1024;
const lineEnd = '\r\n';

/**
 * Reads a body in chunked encoding and skips its trailers. Undefined when the connection ends first.
 *
 * @throws MessageError when the encoding is malformed or the body has more than `maxBytes`.
 *
 * @example
 * const body = await readChunked(reader, 1_000_000);
 */
export const readChunked = async (
	reader: ByteReader,
	maxBytes: number,
): Promise<Buffer | undefined> => {
	const parts: Buffer[] = [];
	let bytes = 0;
	for (;;) {
		const line = await reader.readUntil(lineEnd, maxLineBytes);
		if (!line) {
			return undefined;
		}

		const match = /^0*([0-9a-f]{1,8})[ \t]*(?:;[\t -~]*)?$/iv.exec(line.toString('latin1'));
		if (!match) {
			throw malformed('the length of a chunk is malformed; correct it');
		}

		const length = Number.parseInt(match[1]!, 16);
		if (length === 0) {
			return (await skipTrailers(reader)) ? Buffer.concat(parts) : undefined;
		}

		bytes += length;
		if (bytes > maxBytes) {
			throw new MessageError(messageFaults.tooLarge, 'the body is too large; send a smaller one');
		}

		const part = await reader.readExactly(length);
		const end = part && (await reader.readExactly(lineEnd.length));
		if (!end) {
			return undefined;
		}

		if (end.toString('latin1') !== lineEnd) {
			throw malformed('a chunk is longer than its length; correct it');
		}

		parts.push(part);
	}
};

const skipTrailers = async (reader: ByteReader): Promise<boolean> => {
	let bytes = 0;
	while (bytes <= maxTrailerBytes) {
		const line = await reader.readUntil(lineEnd, maxTrailerBytes);
		if (!line) {
			return false;
		}

		if (line.length === 0) {
			return true;
		}

		bytes += line.length + lineEnd.length;
	}

	throw malformed('the trailers are too long; send fewer');
};

const malformed = (what: string): MessageError => new MessageError(messageFaults.malformed, what);
