const headerBytes = 4;

/** Largest payload of a frame: the largest body that is routed, plus its headers. */
const maxFrameBytes = 65 * 1024 * 1024;

/**
 * Splits a byte stream into frames: a big-endian length of four bytes, then the payload. Throws on
 * a length out of bounds, since the frame boundaries after it are unknown.
 *
 * @example
 * const {payloads, rest} = frames.split(bytes);
 * payloads.map(payload => codec.decode(payload));
 */
export const frames = {
	/** Returns the payloads that are complete, and the bytes after them. */
	split(bytes: Buffer): {readonly payloads: readonly Buffer[]; readonly rest: Buffer} {
		const payloads: Buffer[] = [];
		let rest = bytes;
		while (rest.length >= headerBytes) {
			const length = rest.readUInt32BE(0);
			if (length === 0 || length > maxFrameBytes) {
				throw new RangeError(`Frame of ${length} bytes is out of bounds`);
			}

			if (rest.length < headerBytes + length) {
				break;
			}

			payloads.push(rest.subarray(headerBytes, headerBytes + length));
			rest = rest.subarray(headerBytes + length);
		}

		return {payloads, rest};
	},

	write(payload: Uint8Array): Buffer {
		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt32BE(payload.length, 0);
		frame.set(payload, headerBytes);
		return frame;
	},
} as const;
