import {setImmediate} from 'node:timers/promises';
import type {ByteReader} from './byte-reader.js';
import {ChunkedDecoder} from './chunked-decoder.js';

/**
 * Bytes that are decoded in one turn of the event loop, since many tiny chunks take long; more than
 * the longest line.
 */
const maxBytesPerTurn = 128 * 1024;

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
	const decoder = ChunkedDecoder.create(maxBytes);
	for (;;) {
		const {unread} = reader;
		reader.skip(decoder.decode(unread.subarray(0, maxBytesPerTurn)));
		if (decoder.isComplete) {
			return decoder.body;
		}

		if (unread.length > maxBytesPerTurn) {
			await setImmediate();
		} else if (!(await reader.more())) {
			return undefined;
		}
	}
};
