import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

type Opts = {
	readonly script: string;
	readonly args: readonly string[];
	/** Flags of Node.js. */
	readonly flags?: readonly string[];
	/** Environment variables added to those of this process. */
	readonly env?: Readonly<Record<string, string>>;
	/** Returns the value of the line that reports readiness, undefined for any other line. */
	readonly parseReadyLine: (line: Record<string, unknown>) => unknown;
};

const readyTimeoutMs = 30_000;
const maxLines = 5000;

/** Running children, killed when the test bed exits. */
const running = new Set<ChildProcess>();

process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/**
 * A process started by the test bed, with the JSON lines that it prints.
 *
 * @example
 * const child = await Child.start({script, args, parseReadyLine});
 */
export class Child {
	/** Starts a script and waits until it is ready. */
	static async start({script, args, flags = [], env = {}, parseReadyLine}: Opts): Promise<Child> {
		const child = spawn(process.execPath, [...flags, script, ...args], {
			stdio: ['ignore', 'pipe', 'inherit'],
			env: {...process.env, ...env},
		});
		running.add(child);
		child.once('exit', () => {
			running.delete(child);
		});
		const lines: Array<Record<string, unknown>> = [];
		const ready = await new Promise((resolve, reject) => {
			const timer = setTimeout(
				reject,
				readyTimeoutMs,
				new Error(`${script} was not ready in time`),
			);
			child.once('exit', () => {
				reject(new Error(`${script} exited before it was ready: ${JSON.stringify(lines.at(-1))}`));
			});
			createInterface({input: child.stdout}).on('line', text => {
				const line = JSON.parse(text) as Record<string, unknown>;
				lines.push(line);
				if (lines.length > maxLines) {
					lines.shift();
				}

				const value = parseReadyLine(line);
				if (value !== undefined) {
					clearTimeout(timer);
					resolve(value);
				}
			});
		});
		return new Child(child, lines, ready);
	}

	private constructor(
		private readonly process: ChildProcess,
		readonly lines: ReadonlyArray<Record<string, unknown>>,
		/** Value of the line that reported readiness. */
		readonly ready: unknown,
	) {}

	/** Process ID. */
	get pid(): number {
		return this.process.pid!;
	}

	/** Whether the process runs. */
	get isRunning(): boolean {
		return this.process.exitCode === null && this.process.signalCode === null;
	}

	/** Closes the output pipe, as when the reader of its log has exited. */
	closeOutput(): void {
		this.process.stdout?.destroy();
	}

	/** Sends a signal to the process, but not to its children. */
	signal(name: NodeJS.Signals): void {
		if (this.isRunning) {
			this.process.kill(name);
		}
	}

	/** Signals the process and waits; resolves with its exit code, undefined after a kill. */
	async end(name: NodeJS.Signals = 'SIGKILL'): Promise<number | undefined> {
		if (this.isRunning) {
			const exited = once(this.process, 'exit');
			this.process.kill(name);
			await exited;
		}

		return this.process.exitCode ?? undefined;
	}
}
