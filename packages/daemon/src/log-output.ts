import sonicBoom from 'sonic-boom';

/**
 * Limit on buffered output; further lines are dropped, so that a slow reader never blocks the node.
 */
const maxBufferedBytes = 1024 * 1024;

/** Lines are written in batches of at least this size, or after `flushMs`. */
const minWriteBytes = 12 * 1024;
const flushMs = 250;

/**
 * Log output to standard output, which is buffered and never waits for the reader.
 *
 * @example
 * const output = LogOutput.create();
 * output.write('{"event":"MS1001"}\n');
 */
export class LogOutput {
	/** Opens standard output. */
	static create(): LogOutput {
		return new LogOutput();
	}

	private readonly stream = new sonicBoom.SonicBoom({
		fd: 1,
		sync: false,
		minLength: minWriteBytes,
		maxLength: maxBufferedBytes,
	});

	private constructor() {
		// The reader of the log may exit; the node keeps running.
		this.stream.on('error', () => {});
		setInterval(() => {
			this.stream.flush();
		}, flushMs).unref();
	}

	/** Appends a line to the buffer. */
	readonly write = (line: string): void => {
		this.stream.write(line);
	};

	/** Writes the buffered lines synchronously, before the process exits. */
	flushSync(): void {
		try {
			this.stream.flushSync();
		} catch {
			// The reader has exited, so the lines have no recipient.
		}
	}
}
