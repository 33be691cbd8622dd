import type {ByteReader} from './byte-reader.js';
import {framingOf} from './framing-of.js';
import type {HttpRequest} from './http-request.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';
import {minCountedBytes} from './min-counted-bytes.js';
import {parseHeaders} from './parse-headers.js';
import {readChunked} from './read-chunked.js';

type Opts = {
	readonly maxHeadBytes: number;
	readonly maxBodyBytes: number;
	/** Waits for room for bytes of the body; false when the request is to be given up. */
	readonly reserve?: (bytes: number) => Promise<boolean>;
	/** Called with the headers before the body is read or the message is found to be too large. */
	readonly onHeaders?: (headers: readonly string[]) => void;
	/** Called when the head is complete; `expectsContinue` when the sender waits before its body. */
	readonly onHead?: (expectsContinue: boolean) => void;
};

const requestLine = /^([\w!#$%&'*+\-.^`|~]+) ([\u0021-\u007E\u0080-\u00FF]+) HTTP\/1\.([01])$/u;

/**
 * Reads one request with its whole body. Undefined when the connection ends before its first byte.
 *
 * @throws MessageError when the request is malformed, cut short or larger than allowed.
 *
 * @example
 * const req = await readRequest(reader, {maxHeadBytes: 16_384, maxBodyBytes: 1_000_000});
 */
export const readRequest = async (
	reader: ByteReader,
	{maxHeadBytes, maxBodyBytes, reserve = always, onHeaders, onHead}: Opts,
): Promise<HttpRequest | undefined> => {
	const head = await readHead(reader, maxHeadBytes);
	if (!head) {
		if (reader.bufferedBytes > 0) {
			throw cutShort();
		}

		return undefined;
	}

	const [first, ...lines] = head.toString('latin1').split('\r\n');
	const match = requestLine.exec(first!);
	if (!match) {
		throw new MessageError(messageFaults.malformed, 'the request line is malformed; correct it');
	}

	const headers = parseHeaders(lines);
	onHeaders?.(headers);
	const {length = 0, isChunked, keepsAlive} = framingOf(headers);
	if (length > maxBodyBytes) {
		throw new MessageError(messageFaults.tooLarge, 'the body is too large; send a smaller one');
	}

	const hasBody = isChunked || length > 0;
	onHead?.(hasBody && expectsContinue(headers));
	const body = isChunked
		? await readChunked(reader, maxBodyBytes, reserve)
		: await readSized(reader, length, reserve);
	if (!body) {
		throw cutShort();
	}

	return {
		method: match[1]!,
		target: match[2]!,
		headers,
		body,
		keepsAlive: keepsAlive ?? match[3] === '1',
	};
};

/** Reads a body of a known length, once there is room for it. */
const readSized = async (
	reader: ByteReader,
	length: number,
	reserve: (bytes: number) => Promise<boolean>,
): Promise<Uint8Array | undefined> => {
	if (length === 0) {
		return noBody;
	}

	const hasRoom = length <= minCountedBytes || (await reserve(length));
	return hasRoom ? reader.readExactly(length) : undefined;
};

/** Reads a head; empty lines before it are skipped. */
const readHead = async (reader: ByteReader, maxBytes: number): Promise<Buffer | undefined> => {
	try {
		return (await reader.skipEmptyLines())
			? await reader.readUntil('\r\n\r\n', maxBytes)
			: undefined;
	} catch (error) {
		throw error instanceof MessageError
			? new MessageError(messageFaults.headTooLarge, error.message)
			: error;
	}
};

const expectsContinue = (headers: readonly string[]): boolean =>
	headers.some(
		(name, index) =>
			index % 2 === 0 &&
			name.toLowerCase() === 'expect' &&
			headers[index + 1]!.toLowerCase() === '100-continue',
	);

const cutShort = (): MessageError =>
	new MessageError(messageFaults.cutShort, 'the request ended early; send it whole');

const noBody = new Uint8Array();
const always = async () => true;
