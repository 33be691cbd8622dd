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
			const size = frames.sizeOf(rest)!;
			if (rest.length < size) {
				break;
			}

			payloads.push(frames.payloadOf(rest.subarray(0, size)));
			rest = rest.subarray(size);
		}

		return {payloads, rest};
	},

	/** Size in bytes of the frame that starts here, header included; undefined without its header. */
	sizeOf(bytes: Buffer): number | undefined {
		if (bytes.length < headerBytes) {
			return undefined;
		}

		const length = bytes.readUInt32BE(0);
		if (length === 0 || length > maxFrameBytes) {
			throw new RangeError(`Frame of ${length} bytes is out of bounds`);
		}

		return headerBytes + length;
	},

	/** Payload of a whole frame. */
	payloadOf(frame: Buffer): Buffer {
		return frame.subarray(headerBytes);
	},

	/** Header of a frame whose payload has this number of bytes. */
	headerOf(payloadBytes: number): Buffer {
		const header = Buffer.allocUnsafe(headerBytes);
		header.writeUInt32BE(payloadBytes, 0);
		return header;
	},

	write(payload: Uint8Array): Buffer {
		const frame = Buffer.allocUnsafe(headerBytes + payload.length);
		frame.writeUInt32BE(payload.length, 0);
		frame.set(payload, headerBytes);
		return frame;
	},
} as const;
