const headerBytes = 4;

/** Largest payload of one frame, in bytes: a body of the largest size that is routed, and its headers. */
const maxFrameBytes = 65 * 1024 * 1024;

/**
 * Cuts a byte stream into frames: a length of four bytes, big endian, then the payload. Throws when
 * a length is out of bounds, since nothing after it can be trusted.
 *
 * @example
 * for await (const payload of frames.read(socket)) {
 * 	handle(codec.decode(payload));
 * }
 */
export const frames = {
	async *read(chunks: AsyncIterable<Buffer>): AsyncGenerator<Buffer[]> {
		let pending: Buffer = Buffer.alloc(0);
		for await (const chunk of chunks) {
			pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
			const payloads: Buffer[] = [];
			while (pending.length >= headerBytes) {
				const length = pending.readUInt32BE(0);
				if (length === 0 || length > maxFrameBytes) {
					throw new RangeError(`Frame of ${length} bytes is out of bounds`);
				}

				if (pending.length < headerBytes + length) {
					break;
				}

				payloads.push(pending.subarray(headerBytes, headerBytes + length));
				pending = pending.subarray(headerBytes + length);
			}

			if (payloads.length > 0) {
				yield payloads;
			}
		}
	},

	write(payload: Uint8Array): Buffer {
		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt32BE(payload.length, 0);
		frame.set(payload, headerBytes);
		return frame;
	},
} as const;
