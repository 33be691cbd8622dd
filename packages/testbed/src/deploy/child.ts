import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

type Opts = {
	readonly script: string;
	readonly args: readonly string[];
	/** Variables beside those of this process. */
	readonly env?: Readonly<Record<string, string>>;
	/** Finds the line that says the process is ready and returns what it tells. */
	readonly readyIn: (line: Record<string, unknown>) => unknown;
};

const readyMs = 30_000;
const maxLines = 5000;

/** Children that still run; none may outlive the test bed. */
const running = new Set<ChildProcess>();

process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

/**
 * A process that the test bed started, with the JSON lines it prints.
 *
 * @example
 * const child = await Child.start({script, args, readyIn});
 */
export class Child {
	/** Starts a script and waits until it is ready. */
	static async start({script, args, env = {}, readyIn}: Opts): Promise<Child> {
		const child = spawn(process.execPath, [script, ...args], {
			stdio: ['ignore', 'pipe', 'inherit'],
			env: {...process.env, ...env},
		});
		running.add(child);
		child.once('exit', () => {
			running.delete(child);
		});
		const lines: Array<Record<string, unknown>> = [];
		const ready = await new Promise((resolve, reject) => {
			const timer = setTimeout(reject, readyMs, new Error(`${script} was not ready in time`));
			child.once('exit', () => {
				reject(new Error(`${script} ended early: ${JSON.stringify(lines.at(-1))}`));
			});
			createInterface({input: child.stdout}).on('line', text => {
				const line = JSON.parse(text) as Record<string, unknown>;
				lines.push(line);
				if (lines.length > maxLines) {
					lines.shift();
				}

				const found = readyIn(line);
				if (found !== undefined) {
					clearTimeout(timer);
					resolve(found);
				}
			});
		});
		return new Child(child, lines, ready);
	}

	private constructor(
		private readonly process: ChildProcess,
		readonly lines: ReadonlyArray<Record<string, unknown>>,
		/** What the ready line told. */
		readonly ready: unknown,
	) {}

	/** Process ID. */
	get pid(): number {
		return this.process.pid!;
	}

	/** Whether it still runs. */
	get isRunning(): boolean {
		return this.process.exitCode === null && this.process.signalCode === null;
	}

	/** Reads no more of what it prints, as when the reader of its log has ended. */
	closeOutput(): void {
		this.process.stdout?.destroy();
	}

	/** Sends a signal to this process alone. */
	signal(name: NodeJS.Signals): void {
		if (this.isRunning) {
			this.process.kill(name);
		}
	}

	/** Ends it and waits; resolves with its exit code, or with undefined after a kill. */
	async end(name: NodeJS.Signals = 'SIGKILL'): Promise<number | undefined> {
		if (this.isRunning) {
			const exited = once(this.process, 'exit');
			this.process.kill(name);
			await exited;
		}

		return this.process.exitCode ?? undefined;
	}
}
