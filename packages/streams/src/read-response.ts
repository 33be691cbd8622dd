import {BodyParts} from './body-parts.js';
import type {ByteReader} from './byte-reader.js';
import {framingOf} from './framing-of.js';
import type {HttpResponse} from './http-response.js';
import {isFinalStatus} from './is-final-status.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';
import {minCountedBytes} from './min-counted-bytes.js';
import {parseHeaders} from './parse-headers.js';
import {readChunked} from './read-chunked.js';
import {streamEndings} from './stream-endings.js';

type Reserve = (bytes: number) => Promise<boolean>;

type Opts = {
	/** Method of the request; a response to HEAD has no body. */
	readonly method: string;
	readonly maxHeadBytes: number;
	readonly maxBodyBytes: number;
	/** Waits for room for bytes of the body; false when the response is to be given up. */
	readonly reserve?: Reserve | undefined;
};

type Received = {
	readonly response: HttpResponse;
	/** Whether the connection can carry another request. */
	readonly keepsAlive: boolean;
};

const statusLine = /^HTTP\/1\.([01]) (\d{3})(?: [\t\u0020-\u007E\u0080-\u00FF]*)?$/u;

/** Interim responses before the final one. */
const maxInterim = 8;

/**
 * Reads the final response to one request with its whole body; interim responses are skipped.
 *
 * @throws MessageError when the response is malformed, larger than allowed, or cut short. A response
 * without a length is whole only when the server ends its connection.
 *
 * @example
 * const {response} = await readResponse(reader, {method: 'GET', maxHeadBytes, maxBodyBytes});
 */
export const readResponse = async (
	reader: ByteReader,
	{method, maxHeadBytes, maxBodyBytes, reserve = always}: Opts,
): Promise<Received> => {
	for (let interim = 0; interim <= maxInterim; interim++) {
		const head = await reader.readUntil('\r\n\r\n', maxHeadBytes);
		if (!head) {
			throw cutShort();
		}

		const [first, ...lines] = head.toString('latin1').split('\r\n');
		const match = statusLine.exec(first!);
		const status = Number(match?.[2]);
		if (!match || status < 100 || status === 101) {
			throw malformed('the status line is malformed; look at the sender');
		}

		if (status < 200) {
			continue;
		}

		if (!isFinalStatus(status)) {
			throw malformed('the status is none of HTTP; look at the sender');
		}

		const headers = parseHeaders(lines);
		const {length, isChunked, keepsAlive = match[1] === '1'} = framingOf(headers);
		const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
		const body = hasNoBody
			? noBody
			: await readBody(reader, {length, isChunked}, {maxBytes: maxBodyBytes, reserve});
		if (!body) {
			throw cutShort();
		}

		const hasLength = hasNoBody || isChunked || length !== undefined;
		return {response: {status, headers, body}, keepsAlive: keepsAlive && hasLength};
	}

	throw malformed('there is no end of interim responses; look at the sender');
};

const readBody = async (
	reader: ByteReader,
	{length, isChunked}: Pick<ReturnType<typeof framingOf>, 'length' | 'isChunked'>,
	{maxBytes, reserve}: {maxBytes: number; reserve: Reserve},
): Promise<Uint8Array | undefined> => {
	if (isChunked) {
		return readChunked(reader, maxBytes, reserve);
	}

	if (length === undefined) {
		return readToEnd(reader, maxBytes);
	}

	if (length > maxBytes) {
		throw new MessageError(messageFaults.tooLarge, 'the body is too large; raise the limit');
	}

	const hasRoom = length <= minCountedBytes || (await reserve(length));
	return hasRoom ? reader.readExactly(length) : undefined;
};

/** Reads a body that ends with its connection; undefined unless the server ended it. */
const readToEnd = async (reader: ByteReader, maxBytes: number): Promise<Buffer | undefined> => {
	const parts = BodyParts.create();
	for (;;) {
		const part = await reader.readChunk();
		if (!part) {
			return reader.ending === streamEndings.finished ? parts.toBuffer() : undefined;
		}

		if (parts.length + part.length > maxBytes) {
			throw new MessageError(messageFaults.tooLarge, 'the body is too large; raise the limit');
		}

		parts.append(part);
	}
};

const malformed = (what: string): MessageError => new MessageError(messageFaults.malformed, what);

const cutShort = (): MessageError =>
	new MessageError(messageFaults.cutShort, 'the connection ended before the response was whole');

const noBody = new Uint8Array();
const always = async () => true;
