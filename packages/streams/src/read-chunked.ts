import type {ByteReader} from './byte-reader.js';
import {ChunkedDecoder} from './chunked-decoder.js';
import {minCountedBytes} from './min-counted-bytes.js';

/** Parts of the encoding, three a chunk, that are decoded at a time. */
const maxSteps = 1000;

/** Units of the turn that a part takes beside those of its bytes. */
const unitsPerStep = 100;

/** Bytes for which room is made at a time, since the length of the body is not known before. */
const reservedBytes = 64 * 1024;

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
	reserve: (bytes: number) => Promise<boolean> = always,
): Promise<Buffer | undefined> => {
	const decoder = ChunkedDecoder.create(maxBytes);
	let roomBytes = minCountedBytes;
	for (;;) {
		reader.skip(decoder.decode(reader.unread, maxSteps));
		if (decoder.isComplete) {
			return decoder.body;
		}

		for (; roomBytes < decoder.length; roomBytes += reservedBytes) {
			if (!(await reserve(reservedBytes))) {
				return undefined;
			}
		}

		await reader.spendTurn(decoder.lastSteps * unitsPerStep);
		if (!decoder.hasStopped && !(await reader.more())) {
			return undefined;
		}
	}
};

const always = async () => true;
