import {type Clock, type Log, errorText, events} from '@medlarsaddle/core';
import type {Child} from './child.js';
import {defaultLimits} from './default-limits.js';
import {restartPolicies} from './restart-policies.js';

type Opts = {
	readonly name: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly maxRestarts?: number;
	readonly restartWindowMs?: number;
	readonly initialBackoffMs?: number;
	readonly stopTimeoutMs?: number;
};

type RunningChild = {
	readonly child: Child;
	readonly abort: AbortController;
	readonly done: Promise<void>;
};

/**
 * Starts children in order and keeps them running. Each child starts when the one before it is
 * ready; children stop in reverse order. A failed child is restarted with exponential backoff. One
 * that exceeds the restart limit makes the supervisor itself fail, which its parent then handles.
 * `run` is a task, so supervisors can be nested.
 *
 * @example
 * const root = Supervisor.create({name: 'node', clock, log}, [listener, prober]);
 * await root.run(signal, () => {});
 */
export class Supervisor {
	/** Creates a supervisor; no child starts before `run` is called. */
	static create(opts: Opts, children: readonly Child[] = []): Supervisor {
		return new Supervisor({...defaultLimits, ...opts}, children);
	}

	private readonly running: RunningChild[] = [];
	private escalate: ((error: Error) => void) | undefined;
	private isStopped = false;

	private constructor(
		private readonly opts: Required<Opts> & {readonly maxBackoffMs: number},
		private readonly children: readonly Child[],
	) {}

	/** Number of children that are currently running. */
	get size(): number {
		return this.running.length;
	}

	/** Runs until the signal aborts. Rejects when a child exceeds the restart limit. */
	readonly run = async (signal: AbortSignal, ready: () => void): Promise<void> => {
		const stopping = new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			});
		});
		const escalated = new Promise<never>((_resolve, reject) => {
			this.escalate = reject;
		});
		escalated.catch(() => {});
		try {
			for (const child of this.children) {
				if (signal.aborted) {
					return;
				}

				await Promise.race([this.start(child), escalated, stopping]);
			}

			if (!signal.aborted) {
				ready();
				await Promise.race([stopping, escalated]);
			}
		} finally {
			await this.stopAll();
		}
	};

	/** Starts an additional child, such as the task of a connection. Resolves when it is ready. */
	async start(child: Child): Promise<void> {
		if (this.isStopped) {
			return;
		}

		const abort = new AbortController();
		await new Promise<void>(resolve => {
			const done = this.runWithRestarts(child, abort.signal, resolve);
			const entry = {child, abort, done};
			this.running.push(entry);
			void done.finally(() => {
				this.running.splice(this.running.indexOf(entry), 1);
				resolve();
			});
		});
	}

	/** Stops the running child of this name and waits until it ends or the stop timeout expires. */
	async stop(name: string): Promise<void> {
		const entry = this.running.find(({child}) => child.name === name);
		if (entry) {
			await this.stopOne(entry);
		}
	}

	private async runWithRestarts(
		child: Child,
		signal: AbortSignal,
		ready: () => void,
	): Promise<void> {
		const failures: number[] = [];
		const {clock, log, maxRestarts, restartWindowMs, initialBackoffMs, maxBackoffMs} = this.opts;
		while (!signal.aborted) {
			try {
				await child.task(signal, ready);
				if (child.restart !== restartPolicies.always) {
					return;
				}
			} catch (error) {
				if (signal.aborted) {
					return;
				}

				const fields = {supervisor: this.opts.name, task: child.name, error: errorText(error)};
				log(events.taskFailed, fields);
				if (child.restart === restartPolicies.never) {
					return;
				}

				const nowMs = clock.monotonic();
				failures.push(nowMs);
				while (failures.length > 0 && failures[0]! < nowMs - restartWindowMs) {
					failures.shift();
				}

				if (failures.length > maxRestarts) {
					log(events.taskRestartLimitExceeded, fields);
					this.escalate?.(new Error(`${child.name} failed too often: ${errorText(error)}`));
					return;
				}
			}

			const delayMs = Math.min(
				maxBackoffMs,
				initialBackoffMs * 2 ** Math.max(0, failures.length - 1),
			);
			await clock.sleep(delayMs, signal).catch(() => {});
		}
	}

	private async stopAll(): Promise<void> {
		this.isStopped = true;
		for (const entry of this.running.toReversed()) {
			await this.stopOne(entry);
		}
	}

	private async stopOne({child, abort, done}: RunningChild): Promise<void> {
		abort.abort(new Error(`${child.name} is stopped`));
		const timer = new AbortController();
		const stopTimeout = this.opts.clock.sleep(this.opts.stopTimeoutMs, timer.signal).then(
			() => true,
			() => false,
		);
		const hasTimedOut = await Promise.race([done.then(() => false), stopTimeout]);
		timer.abort();
		if (hasTimedOut) {
			this.opts.log(events.taskStopTimeout, {supervisor: this.opts.name, task: child.name});
		}
	}
}
