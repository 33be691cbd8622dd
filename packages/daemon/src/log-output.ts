import sonicBoom from 'sonic-boom';

/**
 * Limit on buffered output; further lines are dropped, so that a slow reader never blocks the node.
 */
const maxBufferedBytes = 1024 * 1024;

/** Lines are written in batches of at least this size, or after `flushMs`. */
const minWriteBytes = 12 * 1024;
const flushMs = 250;

const stdoutFd = 1;

/**
 * Log output to standard output or another file descriptor, which is buffered and never waits for
 * the reader. Lines that the buffer cannot take are dropped and counted.
 *
 * @example
 * const output = LogOutput.create();
 * output.write('{"event":"MS1001"}\n');
 */
export class LogOutput {
	/** Opens an output. */
	static create(fd = stdoutFd): LogOutput {
		return new LogOutput(fd);
	}

	private readonly stream: sonicBoom.SonicBoom;
	private dropped = 0;

	private constructor(fd: number) {
		this.stream = new sonicBoom.SonicBoom({
			fd,
			sync: false,
			minLength: minWriteBytes,
			maxLength: maxBufferedBytes,
		});
		// The reader of the log may exit; the node keeps running.
		this.stream.on('error', () => {});
		this.stream.on('drop', () => {
			this.dropped++;
		});
		setInterval(() => {
			this.stream.flush();
		}, flushMs).unref();
	}

	/** Appends a line to the buffer. */
	readonly write = (line: string): void => {
		this.stream.write(line);
	};

	/** Returns how many lines were dropped since the last call. */
	takeDropped(): number {
		const {dropped} = this;
		this.dropped = 0;
		return dropped;
	}

	/** Writes the buffered lines synchronously, before the process exits. */
	flushSync(): void {
		try {
			this.stream.flushSync();
		} catch {
			// The reader has exited, so the lines have no recipient.
		}
	}
}
