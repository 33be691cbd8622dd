const headEnd = '\r\n\r\n';

/**
 * Reads HTTP/1.1 messages, with a length or in chunks, from the bytes of one connection. Calls
 * `onHead` with each head and `onMessage` with each whole message.
 *
 * @example
 * const reader = new HttpReader({onMessage({first, headers, body}) {}});
 * socket.on('data', bytes => reader.push(bytes));
 */
export class HttpReader {
	#bytes = Buffer.alloc(0);
	#head;
	#parts = [];
	#missing = 0;

	constructor({onHead = () => {}, onMessage}) {
		this.onHead = onHead;
		this.onMessage = onMessage;
	}

	/** Whether a message has begun that is not whole. */
	get isInMessage() {
		return this.#head !== undefined || this.#bytes.length > 0;
	}

	push(bytes) {
		if (this.#head && !this.#head.isChunked) {
			this.#takeBody(bytes);
			return;
		}

		this.#bytes = this.#bytes.length === 0 ? bytes : Buffer.concat([this.#bytes, bytes]);
		this.#advance();
	}

	#advance() {
		if (this.#head?.isChunked) {
			this.#takeChunks();
			return;
		}

		const end = this.#bytes.indexOf(headEnd);
		if (end === -1) {
			return;
		}

		const [first, ...lines] = this.#bytes.toString('latin1', 0, end).split('\r\n');
		const headers = new Map(
			lines.map(line => {
				const colon = line.indexOf(':');
				return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
			}),
		);
		const rest = this.#bytes.subarray(end + headEnd.length);
		this.#bytes = Buffer.alloc(0);
		const isChunked = headers.get('transfer-encoding') === 'chunked';
		this.#head = {first, headers, isChunked};
		this.#parts = [];
		this.#missing = Number(headers.get('content-length') ?? 0);
		this.onHead(this.#head);
		if (isChunked) {
			this.#bytes = rest;
			this.#takeChunks();
		} else {
			this.#takeBody(rest);
		}
	}

	#takeBody(bytes) {
		const part = bytes.subarray(0, this.#missing);
		this.#parts.push(part);
		this.#missing -= part.length;
		if (this.#missing === 0) {
			this.#bytes = bytes.subarray(part.length);
			this.#complete();
		}
	}

	#takeChunks() {
		for (;;) {
			const end = this.#bytes.indexOf('\r\n');
			const size = Number.parseInt(this.#bytes.toString('latin1', 0, Math.max(0, end)), 16);
			if (end === -1 || this.#bytes.length < end + 2 + size + 2) {
				return;
			}

			this.#parts.push(this.#bytes.subarray(end + 2, end + 2 + size));
			this.#bytes = this.#bytes.subarray(end + 2 + size + 2);
			if (size === 0) {
				this.#complete();
				return;
			}
		}
	}

	#complete() {
		const {first, headers} = this.#head;
		const body = Buffer.concat(this.#parts);
		this.#head = undefined;
		this.#parts = [];
		this.onMessage({first, headers, body});
		if (this.#bytes.length > 0) {
			this.#advance();
		}
	}
}
