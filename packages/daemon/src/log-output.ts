import sonicBoom from 'sonic-boom';

/** Lines that may wait to be written; more are dropped, so that a slow reader holds nothing up. */
const maxWaitingBytes = 1024 * 1024;

/** Lines are written together once they are this many bytes, or after `flushMs`. */
const minWriteBytes = 4096;
const flushMs = 250;

/**
 * Standard output as a log's target: lines are written in groups without waiting for the reader.
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
		maxLength: maxWaitingBytes,
	});

	private constructor() {
		// Whoever read the log may go away; the node goes on without it.
		this.stream.on('error', () => {});
		setInterval(() => {
			this.stream.flush();
		}, flushMs).unref();
	}

	/** Adds a line to what will be written. */
	readonly write = (line: string): void => {
		this.stream.write(line);
	};

	/** Writes what waits, before the process ends. */
	end(): void {
		try {
			this.stream.flushSync();
		} catch {
			// The reader is gone, and with it whoever the lines are for.
		}
	}
}
