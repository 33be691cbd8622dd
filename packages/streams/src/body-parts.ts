/**
 * Collects a body from pieces of any size. Small pieces are copied together, so that a body that
 * arrives a few bytes at a time takes no more memory than another.
 *
 * @example
 * parts.append(piece);
 * return parts.toBuffer();
 */
export class BodyParts {
	/** Creates an empty body. */
	static create(): BodyParts {
		return new BodyParts();
	}

	private readonly parts: Buffer[] = [];
	private block: Buffer = Buffer.alloc(0);
	private filled = 0;
	private total = 0;

	private constructor() {}

	/** Number of bytes collected. */
	get length(): number {
		return this.total;
	}

	/** Adds a piece; its bytes must not change afterwards. */
	append(piece: Buffer): void {
		this.total += piece.length;
		if (piece.length >= maxCopiedBytes) {
			this.closeBlock();
			this.parts.push(piece);
			return;
		}

		if (this.filled + piece.length > this.block.length) {
			this.closeBlock();
			this.block = Buffer.allocUnsafe(Math.max(piece.length, Math.min(this.total, maxBlockBytes)));
		}

		this.filled += piece.copy(this.block, this.filled);
	}

	/** Returns the whole body; nothing may be added afterwards. */
	toBuffer(): Buffer {
		this.closeBlock();
		return this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
	}

	private closeBlock(): void {
		if (this.filled > 0) {
			this.parts.push(this.block.subarray(0, this.filled));
			this.block = this.block.subarray(this.filled);
			this.filled = 0;
		}
	}
}

/** Larger pieces are kept as they are. */
const maxCopiedBytes = 4096;
const maxBlockBytes = 64 * 1024;
