import {BodyParts} from './body-parts.js';
import {MessageError} from './message-error.js';
import {messageFaults} from './message-faults.js';

const maxLineBytes = 1024;
const maxTrailerBytes = 64 * 1024;

/**
 * Bytes that the lines of chunk lengths may have beside their digits, beyond those of the body itself.
 * RFC 9112, section 7.1.1: a recipient ought to limit the total length of chunk extensions.
 */
const maxExtensionBytes = 16 * 1024;
const lineEnd = '\r\n';
const lengthLine = /^0*([0-9a-f]{1,8})[ \t]*(?:;[\t -~]*)?$/iv;

/** What the next bytes are. */
const states = {
	length: 'length',
	data: 'data',
	dataEnd: 'data-end',
	trailer: 'trailer',
	complete: 'complete',
} as const;

/**
 * Decodes a body in chunked encoding from whatever bytes have come, and skips its trailers. It reads
 * each byte once, however the bytes are split.
 *
 * @example
 * reader.skip(decoder.decode(reader.unread, 1000));
 */
export class ChunkedDecoder {
	/** Creates a decoder of a body of at most `maxBytes`. */
	static create(maxBytes: number): ChunkedDecoder {
		return new ChunkedDecoder(maxBytes);
	}

	private readonly parts = BodyParts.create();
	private state: (typeof states)[keyof typeof states] = states.length;
	/** Bytes of the current chunk that have not come yet. */
	private missing = 0;
	private trailerBytes = 0;
	private extensionBytes = 0;
	/** Bytes of an incomplete line in which there is no line end. */
	private searched = 0;
	private wasStopped = false;
	private stepCount = 0;

	private constructor(private readonly maxBytes: number) {}

	/** Whether the body is complete. */
	get isComplete(): boolean {
		return this.state === states.complete;
	}

	/** Whether the last call ended after its steps, so that bytes may be left to decode. */
	get hasStopped(): boolean {
		return this.wasStopped;
	}

	/** Parts of the encoding that the last call has decoded. */
	get lastSteps(): number {
		return this.stepCount;
	}

	/** Bytes of the body that have been decoded. */
	get length(): number {
		return this.parts.length;
	}

	/** The body, once it is complete. */
	get body(): Buffer {
		return this.parts.toBuffer();
	}

	/**
	 * Decodes the next bytes, at most `maxSteps` of their parts, and returns how many bytes it has used.
	 * The others are to be given again; with more after them, unless `hasStopped`.
	 *
	 * @throws MessageError when the encoding is malformed, the body is too large, or its chunk extensions
	 * are out of proportion to it.
	 */
	decode(bytes: Buffer, maxSteps: number): number {
		let used = 0;
		for (let steps = 0; steps < maxSteps; steps++) {
			const step = this.decodeNext(bytes.subarray(used));
			if (step === undefined) {
				this.wasStopped = false;
				this.stepCount = steps;
				return used;
			}

			used += step;
		}

		this.wasStopped = true;
		this.stepCount = maxSteps;
		return used;
	}

	/** Decodes the next part of the encoding; undefined when it has not come whole. */
	private decodeNext(bytes: Buffer): number | undefined {
		switch (this.state) {
			case states.length: {
				return this.decodeLength(bytes);
			}

			case states.data: {
				return this.decodeData(bytes);
			}

			case states.dataEnd: {
				return this.decodeDataEnd(bytes);
			}

			case states.trailer: {
				return this.decodeTrailer(bytes);
			}

			case states.complete: {
				return undefined;
			}
		}
	}

	private decodeLength(bytes: Buffer): number | undefined {
		const line = this.lineIn(bytes, maxLineBytes);
		if (line === undefined) {
			return undefined;
		}

		const match = lengthLine.exec(line);
		if (!match) {
			throw malformed('the length of a chunk is malformed; correct it');
		}

		this.extensionBytes += line.length - match[1]!.length;
		if (this.extensionBytes > maxExtensionBytes + this.parts.length) {
			throw malformed('the chunk extensions are too long; send fewer');
		}

		this.missing = Number.parseInt(match[1]!, 16);
		if (this.parts.length + this.missing > this.maxBytes) {
			throw new MessageError(messageFaults.tooLarge, 'the body is too large; send a smaller one');
		}

		this.state = this.missing === 0 ? states.trailer : states.data;
		return line.length + lineEnd.length;
	}

	private decodeData(bytes: Buffer): number | undefined {
		if (bytes.length === 0) {
			return undefined;
		}

		const part = bytes.subarray(0, this.missing);
		this.parts.append(part);
		this.missing -= part.length;
		if (this.missing === 0) {
			this.state = states.dataEnd;
		}

		return part.length;
	}

	private decodeDataEnd(bytes: Buffer): number | undefined {
		if (bytes.length < lineEnd.length) {
			return undefined;
		}

		if (bytes.toString('latin1', 0, lineEnd.length) !== lineEnd) {
			throw malformed('a chunk is longer than its length; correct it');
		}

		this.state = states.length;
		return lineEnd.length;
	}

	private decodeTrailer(bytes: Buffer): number | undefined {
		const line = this.lineIn(bytes, maxTrailerBytes);
		if (line === undefined) {
			return undefined;
		}

		const used = line.length + lineEnd.length;
		this.trailerBytes += used;
		if (this.trailerBytes > maxTrailerBytes) {
			throw malformed('the trailers are too long; send fewer');
		}

		if (line.length === 0) {
			this.state = states.complete;
		}

		return used;
	}

	/** The line at the start of the bytes; undefined when its end has not come. */
	private lineIn(bytes: Buffer, maxBytes: number): string | undefined {
		const end = bytes.indexOf(lineEnd, this.searched, 'latin1');
		if (end > maxBytes || (end === -1 && bytes.length > maxBytes)) {
			throw new MessageError(
				messageFaults.tooLarge,
				`no end within ${maxBytes} bytes; send a smaller message`,
			);
		}

		this.searched = end === -1 ? Math.max(0, bytes.length - 1) : 0;
		return end === -1 ? undefined : bytes.toString('latin1', 0, end);
	}
}

const malformed = (what: string): MessageError => new MessageError(messageFaults.malformed, what);
