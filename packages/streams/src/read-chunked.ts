import {setImmediate} from 'node:timers/promises';
import type {ByteReader} from './byte-reader.js';
import {ChunkedDecoder} from './chunked-decoder.js';

/** Parts of the encoding, three a chunk, that are decoded in one turn of the event loop. */
const maxStepsPerTurn = 1000;

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
		reader.skip(decoder.decode(reader.unread, maxStepsPerTurn));
		if (decoder.isComplete) {
			return decoder.body;
		}

		if (decoder.hasStopped) {
			await setImmediate();
		} else if (!(await reader.more())) {
			return undefined;
		}
	}
};
