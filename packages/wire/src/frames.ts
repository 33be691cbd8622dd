const headerBytes = 4;

/** Largest payload of a frame: the largest body that is routed, plus its headers. */
const maxFrameBytes = 65 * 1024 * 1024;

/**
 * Splits a byte stream into frames: a big-endian length of four bytes, then the payload. Reading
 * yields the payloads that are complete after each chunk. It throws on a length out of bounds,
 * since the frame boundaries after it are unknown.
 *
 * @example
 * for await (const payloads of frames.read(socket)) {
 * 	for (const payload of payloads) {
 * 		handle(codec.decode(payload));
 * 	}
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
